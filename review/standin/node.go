// Package standin has the stand-ins that the cases of the review share: the start of a node as a process, engines, clients and
// the record of a run. Discovery is the project's own stand-in.
package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// runCommand is the command `run` of deploy/balancer.toml, started from the root of the repository.
const runCommand = `trap "" HUP; exec bin/sandcourse-edge --config "$NODE_CONFIG"`

// MemoryLimit is the memory that the configuration allows the node, in bytes.
const MemoryLimit = 192 << 20

// Route is a request class in the settings of a node.
type Route struct {
	Name, Effect string
	Objective    time.Duration
	Deadline     time.Duration
	Worth        float64
}

// Settings are the settings of a small deployment, and the addresses of a node.
type Settings struct {
	Discovery string // address of the agent
	Known     string // the list that the node had last, as JSON
	Resume    bool   // clients ask for the rest of a stream that broke
	Asked     bool   // lists are asked for; otherwise they are pushed
}

// Node is one node, started as a process.
type Node struct {
	Address string
	Exited  chan struct{} // closed when the process has ended

	command *exec.Cmd
	ended   atomic.Bool
}

// FreeAddress returns a loopback address whose port is free.
func FreeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// StartNode starts a node with its files in a folder, and returns once its health check succeeds.
func StartNode(folder string, settings Settings) (*Node, error) {
	address, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	config := filepath.Join(folder, "config.json")
	if err := os.WriteFile(config, configuration(address, settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(folder, "node.log"))
	if err != nil {
		return nil, err
	}
	n := &Node{Address: address, Exited: make(chan struct{}), command: exec.Command("/bin/sh", "-c", runCommand)}
	n.command.Env = append(os.Environ(), "NODE_CONFIG="+config, "NODE_NAME=n0", "NODE_LISTEN="+address,
		"NODE_DISCOVERY="+settings.Discovery, "TMPDIR="+folder)
	n.command.Stdout, n.command.Stderr = log, log
	if err := n.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = n.command.Wait() // How the process ended is not needed.
		n.ended.Store(true)
		close(n.Exited)
	}()
	return n, n.awaitReady()
}

// configuration returns a node's configuration in the form of the platform's deployment page.
func configuration(address string, s Settings) []byte {
	var classes []map[string]any
	var stretch, tokenAims []int64
	for _, r := range Routes {
		classes = append(classes, map[string]any{"name": r.Name, "effect": r.Effect, "worth": r.Worth, "late_worth": 0.2,
			"objective_us": r.Objective.Microseconds(), "deadline_us": r.Deadline.Microseconds(), "streamed": true,
			"dedup_scope": "all", "memory_span_us": 5000000})
		stretch, tokenAims = append(stretch, 40000), append(tokenAims, 60000)
	}
	known, mode := json.RawMessage(s.Known), "automatic"
	if s.Asked {
		mode = "subscribe"
	}
	text, _ := json.Marshal(map[string]any{ // All values can be represented.
		"name": "n0", "listen": address, "discovery": s.Discovery, "seed": "8c1f30d27a5be964", "known": known,
		"limits": map[string]any{"cores": 1.0, "memory_mb": MemoryLimit >> 20, "sockets": 1024},
		"settings": map[string]any{
			"areas": []string{"a"}, "zone": 0, "index": 0, "peers_total": 1, "tick_us": 4000, "flavors": []string{"read", "write"},
			"ceilings": map[string]any{"try_limit": 5, "cancel": true, "probes": true, "peers": false, "retry_after": true,
				"max_retry_after_us": 1000000, "dial_timeout_us": 250000, "conn_idle_us": 15000000, "parallel_tries": false},
			"report": map[string]any{"how": "inline", "fields": []string{"x0", "x1"}},
			"family_info": map[string]any{"stage_of_kind": []string{"read", "write"}, "pin_limit_us": 1000000, "resume": s.Resume,
				"kind_memory_tokens": []int{286584, 106165}, "aim_us_per_1000_prompt_tokens": stretch, "token_aim_us": tokenAims,
				"local_read": false},
			"classes": classes, "clients": map[string]any{"marks_retry": true}, "discovery": mode,
			"obligations": map[string]any{"drain_grace_us": 250000, "cold_share": 0.25, "cold_us": 11000000, "fall_multiple": 3.0,
				"overload_for_us": 1000000, "answer_slack_us": 16000, "ask_within_us": 10000000},
		},
	})
	return text
}

// awaitReady returns once the node's health check has succeeded.
func (n *Node) awaitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end) && !n.ended.Load(); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + n.Address + "/_health")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("the node did not get ready")
}

// Signal sends a signal to the node's process.
func (n *Node) Signal(s syscall.Signal) {
	if !n.ended.Load() {
		_ = n.command.Process.Signal(s) // The process may just have ended.
	}
}

// HoldUp holds the node up for a time: its process does not run.
func (n *Node) HoldUp(span time.Duration) {
	n.Signal(syscall.SIGSTOP)
	time.Sleep(span)
	n.Signal(syscall.SIGCONT)
}

// Memory returns the memory that only the node's process uses, in bytes; 0 if the process has ended.
func (n *Node) Memory() (bytes int) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.command.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), "RssAnon:")
	kilobytes := 0
	if _, err := fmt.Sscan(rest, &kilobytes); err != nil {
		return 0
	}
	return kilobytes << 10
}

// Kill ends the node's process, if it runs, and waits for its end.
func (n *Node) Kill() {
	n.Signal(syscall.SIGCONT)
	n.Signal(syscall.SIGKILL)
	<-n.Exited
}

// Main runs a case and exits with its status: 0 if the rule held, 1 if it was broken, 2 if the case could not run. The case gets
// a temporary folder, the record, and whether it plays the disruption.
func Main(limit time.Duration, run func(ctx context.Context, folder string, record *Record, trouble bool) (broken int, err error)) {
	os.Exit(runCase(limit, run))
}

func runCase(limit time.Duration, run func(context.Context, string, *Record, bool) (int, error)) int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: case RECORD")
		return 2
	}
	record, err := newRecord(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.close()
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		record.Printf("could not run: %v", err)
		return 2
	}
	defer os.RemoveAll(folder)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	broken, err := run(ctx, folder, record, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.Result("could not run: %v", err)
		return 2
	case broken > 0:
		record.Result("the rule was broken %d times", broken)
		return 1
	}
	record.Result("the rule held")
	return 0
}
