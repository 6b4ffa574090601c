package soak

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"sandcourse/internal/audit"
)

// echo is a server that sends back what it reads.
func echo(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				io.Copy(conn, conn)
				conn.Close()
			}()
		}
	}()
	return listener
}

func through(t *testing.T, p *Proxy, say string) (string, error) {
	t.Helper()
	conn, err := net.Dial("tcp", p.Addr())
	if err != nil {
		return "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(300 * time.Millisecond))
	if _, err := io.WriteString(conn, say); err != nil {
		return "", err
	}
	got := make([]byte, len(say))
	n, err := io.ReadFull(conn, got)
	return string(got[:n]), err
}

func TestProxyFaults(t *testing.T) {
	p, err := NewProxy(echo(t).Addr().String(), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	for _, c := range []struct {
		fault Fault
		got   string
		ok    bool
	}{{Pass, "some words", true}, {Silent, "", false}, {Refuse, "", false}, {Cut, "some ", false}, {Late, "some words", true}, {Pass, "some words", true}} {
		p.Set(c.fault)
		got, err := through(t, p, "some words")
		if got != c.got || (err == nil) != c.ok {
			t.Errorf("fault %d: %q %v", c.fault, got, err)
		}
	}
	p.Set(Spoil)
	if got, _ := through(t, p, "some words"); strings.Contains(got, "some") {
		t.Errorf("spoilt: %q", got)
	}
}

// What was written into a silent way and given up is lost, and the end of the node's side is told.
func TestProxyReportsAbandonedConnection(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	closed := make(chan string, 1)
	p, err := NewProxy(server.Addr().String(), func(address string) { closed <- address })
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	p.Set(Silent)
	node, err := net.Dial("tcp", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	engine, err := server.Accept()
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(node, "a request")
	node.Close()
	if address := <-closed; address != engine.RemoteAddr().String() {
		t.Errorf("told of %s, the engine knows it as %s", address, engine.RemoteAddr())
	}
	p.Set(Pass)
	engine.SetDeadline(time.Now().Add(5 * time.Second))
	if got, err := io.ReadAll(engine); len(got) > 0 || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%q %v arrived of what was given up", got, err)
	}
}

func TestDiscoveryReportsChanges(t *testing.T) {
	d, err := newDiscovery(1)
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"a", "b"} {
		d.put(&instance{id: id, state: serving, hosts: []string{"127.0.0.1:1"}})
	}
	known := d.generation
	d.put(&instance{id: "b", state: deleted, hosts: []string{"127.0.0.1:1"}})
	states := func(since int64) string {
		var l wireList
		if err := json.Unmarshal(d.list(0, since), &l); err != nil {
			t.Fatal(err)
		}
		var row []string
		for _, i := range l.Instances {
			row = append(row, i.ID+" "+i.State)
		}
		return strings.Join(row, ", ")
	}
	if got := states(0); got != "a SERVING" {
		t.Errorf("the whole list is %s", got)
	}
	if got := states(known); got != "b DELETED" {
		t.Errorf("the changes are %s", got)
	}
}

// The judge finds what it is there for.
func TestJudgeResponse(t *testing.T) {
	at := time.Now()
	r := &soakRun{log: &audit.Log{}, responses: map[string]int{}, startedAt: at}
	seen := func(event audit.EngineEvent, name string, after time.Duration) {
		r.log.RecordEngine(audit.EngineRecord{At: at.Add(after), Engine: "e", Event: event, RequestID: name, ClientRequestID: name, Decode: true})
	}
	for _, name := range []string{"forgotten", "remembered"} {
		r.log.RecordClient(audit.ClientRecord{ClientRequestID: name, RequestID: name, Route: "label"})
		seen(audit.Executed, name, 0)
	}
	seen(audit.Executed, "forgotten", dedupWindow+time.Millisecond)
	seen(audit.Executed, "remembered", dedupWindow-time.Millisecond)
	if row := r.judgeWindows(); len(row) != 1 || !strings.Contains(row[0], "forgotten") {
		t.Errorf("windows: %q", row)
	}
	seen(audit.AttemptStarted, "sent on", 0)
	r.unanswered = []audit.ClientRecord{{RequestID: "sent on"}, {RequestID: "never read"}}
	if row := r.judgeUnanswered(); len(row) != 1 || !strings.Contains(row[0], "sent on") {
		t.Errorf("unanswered: %q", row)
	}
}

// A node's own words count: a rule that its monitor saw broken, and a crash.
func TestReadLog(t *testing.T) {
	r := &soakRun{folder: t.TempDir(), responses: map[string]int{}, startedAt: time.Now()}
	r.readLog("n1", 1, strings.NewReader(`{"level":"info","msg":"request finished"}
{"level":"error","msg":"invariant violated","rule":"two attempts out","request":"a","detail":"attempts 0 and 1"}
panic: a fault
`))
	if len(r.violations) != 2 || !strings.Contains(r.violations[0], "two attempts out a attempts 0 and 1") || !strings.Contains(r.violations[1], "panic") {
		t.Errorf("faults %q", r.violations)
	}
}

func TestLeaveDescriptors(t *testing.T) {
	restore, err := LeaveDescriptors(os.Getpid(), 2)
	if err != nil {
		t.Fatal(err)
	}
	var open []*os.File
	for {
		f, err := os.Open(os.DevNull)
		if err != nil {
			break
		}
		open = append(open, f)
	}
	if err := restore(); err != nil {
		t.Fatal(err)
	}
	for _, f := range open {
		f.Close()
	}
	if len(open) > 2 {
		t.Errorf("%d descriptors could be had, 2 were left", len(open))
	}
}
