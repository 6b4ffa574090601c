package endpoint

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestTruncatedListIsRefusedAtEveryByte(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r.json")
	want := List{Revision: 3, Entries: []Entry{{ID: "127.0.0.1:9", Kind: "decode", State: Ready},
		{ID: "127.0.0.1:8", Kind: "prefill", State: Draining, Weight: 2, StartedAtMs: 5}}}
	if err := WriteFile(path, want); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := Parse(text); err != nil || len(got.Entries) != 2 || got.Entries[1] != want.Entries[1] {
		t.Fatalf("%+v, %v", got, err)
	}
	for i := range len(text) - 2 { // the last two are the brace and the line's end
		if _, err := Parse(text[:i]); err == nil {
			t.Errorf("taken when cut at %d", i)
		}
	}
}

func TestInvalidEntriesAreRefused(t *testing.T) {
	for _, bad := range []string{`{}`, `{"engines":null}`, `{"engines":[]} {}`, `{"engines":[],"x":1}`,
		`{"engines":[{"engine":"a","kind":"k","state":"ready"}]}`, `{"engines":[{"engine":"1.1.1.1:1","kind":"k","state":"up"}]}`,
		`{"engines":[{"engine":"1.1.1.1:1","state":"ready"}]}`,
		`{"engines":[{"engine":"1.1.1.1:1","kind":"k","state":"ready","weight":-1}]}`,
		`{"engines":[{"engine":"1.1.1.1:1","kind":"k","state":"ready"},{"engine":"1.1.1.1:1","kind":"k","state":"ready"}]}`} {
		if _, err := Parse([]byte(bad)); err == nil {
			t.Errorf("taken: %s", bad)
		}
	}
	rapid.Check(t, func(t *rapid.T) { Parse([]byte(rapid.String().Draw(t, "text"))) })
}

func TestFileSourceKeepsLastValidList(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r.json")
	lists, faults := make(chan List, 10), make(chan error, 10)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		FileSource{Path: path, PollInterval: time.Millisecond}.Run(ctx, func(l List) { lists <- l }, func(err error) { faults <- err })
	}()
	defer func() { cancel(); <-done }()
	<-faults // there is no file yet
	step := func(revision int64) {
		if err := WriteFile(path, List{Revision: revision, Entries: []Entry{}}); err != nil {
			t.Error(err)
		}
	}
	step(2)
	if l := <-lists; l.Revision != 2 {
		t.Errorf("%+v", l)
	}
	step(1)
	<-faults // older than what is known
	if err := os.WriteFile(path, []byte(`{"revision":9,`), 0o644); err != nil {
		t.Fatal(err)
	}
	<-faults
	step(3)
	if l := <-lists; l.Revision != 3 {
		t.Errorf("%+v", l)
	}
}
