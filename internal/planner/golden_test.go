package planner

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.etcd.io/bbolt"
	"go.uber.org/zap"

	"sandcourse/internal/config"
	"sandcourse/internal/golden"
	"sandcourse/internal/planner/assignment"
	"sandcourse/internal/planner/planapi"
)

// earlierStoreFile was written by the planner at commit 105440a. It must never be rewritten: it checks that later versions can
// open the store of an earlier version.
const earlierStoreFile = "store-105440a.db"

const storeTerm = 7

func storeContent() assignment.Persist {
	return assignment.Persist{Meta: assignment.Meta{PlanNumber: 41, Stopped: true, StoppedBy: "night shift", StopReason: "a switch is replaced"},
		Records: []assignment.Record{
			{Engine: "10.0.0.1:8000", Role: "read", Epoch: 3, State: assignment.Serving, StateSince: 1_700_000_000_000_000_000,
				ServingSince: 1_690_000_000_000_000_000, Incarnation: 5, Pinned: true, Reason: "night shift: keep it"},
			{Engine: "10.0.0.2:8000", Role: "write", Epoch: 4, State: assignment.Draining, NextRole: "read", NextEpoch: 5,
				StateSince: 1_700_000_001_000_000_000, Incarnation: 6},
			{Engine: "10.0.0.3:8000", Role: "write", Epoch: 1, State: assignment.Serving, StateSince: 1_700_000_002_000_000_000},
		}}
}

// copyStore copies the earlier store and returns the path of the copy.
func copyStore(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", earlierStoreFile))
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "planner.db")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// The test checks that a store of an earlier version opens with its term, its meta state and all its records, without faults,
// and that opening it creates no other file.
func TestGoldenEarlierStoreOpens(t *testing.T) {
	path := copyStore(t)
	store, stored, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	want := storeContent()
	if stored.Term != storeTerm || len(stored.Faults) != 0 || !reflect.DeepEqual(stored.Meta, want.Meta) ||
		!reflect.DeepEqual(stored.Records, want.Records) {
		meta, _ := json.Marshal(stored.Meta)
		records, _ := json.Marshal(stored.Records)
		t.Errorf("term %d, faults %q, meta %s, records %s", stored.Term, stored.Faults, meta, records)
	}
	files, err := os.ReadDir(filepath.Dir(path))
	if err != nil || len(files) != 1 {
		t.Errorf("files in the directory of the store: %v %v", files, err)
	}
}

// dumpStore returns the content of a store's file by bucket, with the checksum of each value in hexadecimal digits.
func dumpStore(t *testing.T, path string) string {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	var b strings.Builder
	err = db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(bucket []byte, in *bbolt.Bucket) error {
			fmt.Fprintf(&b, "%s\n", bucket)
			return in.ForEach(func(key, value []byte) error {
				if len(value) < 8 {
					return fmt.Errorf("%s: value of %d bytes is too short", key, len(value))
				}
				fmt.Fprintf(&b, "\t%s %x %s\n", key, value[:8], value[8:])
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// The test checks that the values in a store are the same bytes as those of an earlier version, so that the earlier version
// can read them.
func TestGoldenStoreKeepsEarlierFormat(t *testing.T) {
	path := filepath.Join(t.TempDir(), "planner.db")
	store, _, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := store.SaveTerm(storeTerm); err != nil {
		t.Fatal(err)
	}
	if err := store.Save(storeContent()); err != nil {
		t.Fatal(err)
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
	got := dumpStore(t, path)
	golden.Check(t, "store.golden", got)
	if earlier := dumpStore(t, copyStore(t)); got != earlier {
		t.Errorf("current version:\n%s\nearlier version:\n%s", got, earlier)
	}
}

// The test checks that a planner that starts with an earlier store continues from it: one term later, with role changes still
// stopped, and with the stored role and epoch of each engine.
func TestGoldenPlannerContinuesFromEarlierStore(t *testing.T) {
	settings := config.DefaultPlanner()
	settings.Listen, settings.Store, settings.EndpointFile = "127.0.0.1:0", copyStore(t), filepath.Join(t.TempDir(), "roster.json")
	p := New(settings, zap.NewNop())
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	response, err := http.Get("http://" + p.Addr() + "/plan/roles")
	if err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(response.Body)
	response.Body.Close()
	p.Stop()
	if err != nil {
		t.Fatal(err)
	}
	var status struct {
		Term     int64            `json:"term"`
		Engines  []map[string]any `json:"engines"`
		Decision struct {
			Stopped bool `json:"stopped"`
		} `json:"decision"`
	}
	if err := json.Unmarshal(data, &status); err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "term %d\n", status.Term)
	for _, e := range status.Engines {
		fmt.Fprintf(&b, "%v %v of epoch %v, pinned %v\n", e["engine"], e["role"], e["epoch"], e["pinned"])
	}
	golden.Check(t, "continued.golden", b.String())
	_, stored, err := Open(settings.Store)
	if err != nil || stored.Term != storeTerm+1 || !reflect.DeepEqual(stored.Meta, storeContent().Meta) {
		meta, _ := json.Marshal(stored.Meta)
		t.Errorf("%v: term %d, meta %s", err, stored.Term, meta)
	}
}

// The test checks the JSON format of the status, which command lines of other versions read.
func TestGoldenStatus(t *testing.T) {
	status := Status{Term: 8, Number: 42, Deposed: true, SaveFailing: true, FollowingEdges: 3,
		Engines: []assignment.EngineView{{Record: storeContent().Records[1], Listed: true, CanChange: true,
			Report: planapi.EngineReport{Engine: "10.0.0.2:8000", Role: "write", Epoch: 4, Term: 7, Incarnation: 6, UptimeMillis: 1500,
				Changing: true, Draining: true, PrefillTokens: 10.5, DecodeTokens: 20, BusySeconds: 0.25, OpenRequests: 2, Reservations: 1, CachedTokens: 300,
				HotPrefixes: map[string]float64{"5c0f": 2048, "0a11": 512}},
			ReportedMsAgo: 120, IneligibleReason: "engine is draining", Fault: "trial did not end within 5s"},
			{Record: storeContent().Records[0], ReportedMsAgo: -1}},
		Decision: assignment.Decision{At: 1_700_000_000_000_000_000, EdgesReporting: 2, EdgesKnown: 3,
			RequiredEngines: map[string]float64{"read": 1.5, "write": 2}, ServingEngines: map[string]float64{"read": 1, "write": 3},
			IncomingEngines: map[string]float64{"read": 1}, Throughput: map[string]float64{"read": 9000, "write": 700},
			Evaluations: []assignment.Evaluation{{ToRole: "read", Gain: 1.5, ReversalLoss: 0.5, MeanGain: 0.75, RemainingSeconds: 60, Cost: 12, GainingSeconds: 5,
				Engine: "10.0.0.2:8000", LostTokens: 100, Reason: "change is worth its cost", Chosen: true}}, Changing: 1, Stopped: true}}
	data, err := json.MarshalIndent(status, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "shown.golden", string(data)+"\n")
	var decoded Status
	if err := json.Unmarshal(data, &decoded); err != nil {
		t.Fatal(err)
	}
	status.Engines[0].Report.Engine = "" // The address is not sent.
	if !reflect.DeepEqual(decoded, status) {
		t.Error("decoded status differs from the encoded one")
	}
}

// The test checks that a plan that is sent to a stream later differs only in the engines' uptimes.
func TestGoldenStreamLine(t *testing.T) {
	line := `{"term":8,"number":42,"engines":[{"engine":"10.0.0.1:8000","kind":"prefill","zone":"a","cell":"c1",` +
		`"weight":1.5,"state":"ready","epoch":3,"up_for_ms":5},{"engine":"10.0.0.2:8000","kind":"decode",` +
		`"state":"draining"}]}` + "\n"
	golden.Check(t, "stream.golden", line+string(adjustUptimes([]byte(line), 49*time.Millisecond))+
		string(adjustUptimes([]byte(line), 1250*time.Millisecond)))
}

// The test checks the planner's responses on each of its paths.
func TestGoldenResponses(t *testing.T) {
	settings := config.DefaultPlanner()
	settings.Listen, settings.Store, settings.EndpointFile = "127.0.0.1:0", copyStore(t), filepath.Join(t.TempDir(), "roster.json")
	p := New(settings, zap.NewNop())
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	defer p.Stop()
	send := func(method, path, body string) (int, string, string) {
		request, err := http.NewRequest(method, "http://"+p.Addr()+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		data, err := io.ReadAll(response.Body)
		if err != nil {
			t.Fatal(err)
		}
		return response.StatusCode, response.Header.Get("Content-Type"), string(data)
	}
	var b strings.Builder
	for _, c := range [][3]string{{"POST", "/plan/report", `{"edge":"edge0","life":9,"term":8,"plan":42,"routes":[{"route":"clip-summary",` +
		`"arrived":1,"prompt_tokens":2,"began":3,"begun_tokens":4,"ended":5,"answer_tokens":6,"in_time":7,"shed":8}]}`},
		{"POST", "/plan/report", `{"edge":"edge0","life":9,"term":0,"plan":0,"routes":null}`}, {"POST", "/plan/report", `{"edge":""}`},
		{"POST", "/plan/report", `{`}, {"GET", "/plan/report", ""}, {"POST", "/plan/roles", ""}, {"POST", "/plan/stream", ""},
		{"GET", "/plan/other", ""}, {"GET", "/plan/order", ""}, {"POST", "/plan/order", `{"op":"dance","who":"ops","why":"a test"}`},
		{"POST", "/plan/order", `{"op":"pin","who":"ops","why":"a test"}`},
		{"POST", "/plan/order", `{"op":"pin","engine":"10.0.0.9:8000","who":"ops","why":"a test"}`},
		{"POST", "/plan/order", `{"op":"pin","engine":"10.0.0.3:8000","who":"ops","why":"a test","dry":true}`},
		{"POST", "/plan/order", `{"op":"pin","engine":"10.0.0.3:8000","who":"ops","why":"a test"}`},
		{"POST", "/plan/order", `{"op":"unpin","engine":"10.0.0.3:8000","who":"ops","why":"a test"}`},
		{"POST", "/plan/order", `{"op":"move","engine":"10.0.0.3:8000","who":"ops","why":"a test"}`},
		{"POST", "/plan/order", `{"op":"readmit","engine":"10.0.0.3:8000","who":"ops","why":"a test"}`},
		{"POST", "/plan/order", `{"op":"go","who":"ops","why":"a test"}`},
		{"POST", "/plan/order", `{"op":"stop","who":"ops","why":"a test"}`}} {
		status, kind, text := send(c[0], c[1], c[2])
		fmt.Fprintf(&b, "%s %s\n%s\n%d %s\n%s\n", c[0], c[1], c[2], status, kind, text)
	}
	golden.Check(t, "answers.golden", b.String())
}

// The test checks the names, labels and help texts of the planner's metrics.
func TestGoldenMetrics(t *testing.T) {
	m := newMetrics()
	m.plans.Add(3)
	m.streams.Set(2)
	m.engines.WithLabelValues("read", "serving").Set(5)
	m.engines.WithLabelValues("write", "draining").Set(1)
	m.requiredEngines.WithLabelValues("read").Set(1.5)
	w := httptest.NewRecorder()
	promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	golden.Check(t, "metrics.golden", w.Body.String())
}
