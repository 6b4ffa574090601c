package main

import (
	"bytes"
	"errors"
	"io"
	"os"
	"strings"
	"testing"

	"sandcourse/internal/simproto"
)

func TestRepliesToRecordedBatchesAreUnchanged(t *testing.T) {
	in, err := os.Open("../../.ci/plain.in.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	want, err := os.ReadFile("../../.ci/plain.out.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	var out, log bytes.Buffer
	if err := run(in, &out, &log); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(out.Bytes(), want) {
		t.Errorf("unexpected replies: %s", out.Bytes())
	}
	if !strings.Contains(log.String(), `type="mystery"`) {
		t.Errorf("log does not name the unknown event: %s", log.String())
	}
}

func TestInvalidBatchEndsTheProgram(t *testing.T) {
	for line, want := range map[string]error{
		`{"wall_us":1,"inbox":[{"t":"ring","i":"n","ctx":1}]}`: errNotCreated,
		`{"wall_us":1,"inbox":[{"t":"ring","i":"n"}]}`:         simproto.ErrMissing,
		`{}`: simproto.ErrNotABatch,
	} {
		if err := run(strings.NewReader(line+"\n"), io.Discard, io.Discard); !errors.Is(err, want) {
			t.Errorf("%s: %v", line, err)
		}
	}
}

// A node that is down ignores events until it is created again.
func TestNodeThatIsDownIgnoresEvents(t *testing.T) {
	const create = `{"t":"create","i":"n","random_seed":1,"params":{"discovery":"subscribe"}}`
	const timer, down = `{"t":"ring","i":"n","ctx":1}`, `{"t":"down","i":"n"}`
	for inbox, want := range map[string]string{
		create + "," + timer:              `{"out":[{"t":"subscribe","i":"n","want":true}]}`,
		create + "," + down + "," + timer: `{"out":[]}`,
	} {
		var out bytes.Buffer
		if err := run(strings.NewReader(`{"wall_us":1,"inbox":[`+inbox+"]}\n"), &out, io.Discard); err != nil {
			t.Fatal(err)
		}
		if got := strings.TrimSpace(out.String()); got != want {
			t.Errorf("reply to %s is %s", inbox, got)
		}
	}
}
