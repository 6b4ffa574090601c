package parts

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"
)

// Settings are the settings of a small deployment. Names and units are those of the simulator's first message.
type Settings map[string]any

// SmallDeployment returns settings like those of the first users' deployment: two kinds, one route that may be repeated and one
// that must not run twice.
func SmallDeployment() Settings {
	return Settings{
		"accounts": []any{}, "areas": []string{"dc1"}, "zone": 0, "index": 0, "peers_total": 1, "tick_us": 4000, "tier": 0,
		"tiers": []string{"fleet"}, "flavors": []string{"prefill", "decode"}, "weights": "off", "worth_by": "work",
		"discovery": "automatic", "family": "twostage",
		"ceilings": map[string]any{"cancel": true, "conn_idle_us": 15000000, "cpu_us_per_s": 400000, "dial_timeout_us": 250000,
			"max_retry_after_us": 1000000, "parallel_tries": false, "peers": false, "probes": true, "retry_after": true, "try_limit": 5},
		"classes": []any{
			map[string]any{"name": "clip-summary", "effect": "retryable", "worth": 1.0, "streamed": true, "objective_us": 1000000,
				"deadline_us": 4000000, "late_worth": 0.2, "dedup_scope": "all", "memory_span_us": 5000000},
			map[string]any{"name": "fan-alert", "effect": "fragile", "worth": 5.0, "streamed": true, "objective_us": 800000,
				"deadline_us": 3000000, "late_worth": 0.3, "dedup_scope": "all", "memory_span_us": 5000000},
		},
		"family_info": map[string]any{"aim_us_per_1000_prompt_tokens": []float64{40000, 60000}, "may_reserve": false,
			"kind_memory_tokens": []float64{286584, 106165}, "local_read": false, "pin_limit_us": 1000000, "resume": true,
			"stage_of_kind": []string{"read", "write"}, "token_aim_us": []float64{60000, 50000}},
		"obligations": map[string]any{"answer_slack_us": 16000, "ask_within_us": 10000000, "cold_share": 0.25, "cold_us": 11000000,
			"drain_grace_us": 250000, "fall_multiple": 3.0, "overload_for_us": 1000000},
		"report": map[string]any{"fields": []string{"x0", "x1"}, "how": "inline"},
	}
}

// Node is one node, started as the deploy file says.
type Node struct {
	Address string
	Exited  chan struct{} // closed when the process has ended

	config  map[string]any
	file    string
	folder  string
	command *exec.Cmd
}

// NewNode prepares a node in a temporary folder. Known is the list of engines that the node had last, in discovery's form.
func NewNode(discovery, known string, settings Settings) (*Node, error) {
	address, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	n := &Node{Address: address, folder: folder, file: filepath.Join(folder, "config.json"), Exited: make(chan struct{})}
	n.config = map[string]any{"name": "n0", "listen": address, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": json.RawMessage(known), "settings": settings}
	return n, n.writeConfig()
}

func (n *Node) writeConfig() error {
	text, err := json.Marshal(n.config)
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.file+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(n.file+".new", n.file)
}

// SetDiscovery replaces the configuration by one with another address of discovery, and sends SIGHUP.
func (n *Node) SetDiscovery(address string) error {
	n.config["discovery"] = address
	if err := n.writeConfig(); err != nil {
		return err
	}
	return n.Signal(syscall.SIGHUP)
}

// SetLimits sets the limits in the configuration; it is called before Start.
func (n *Node) SetLimits(memoryMB, sockets int) error {
	n.config["limits"] = map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets}
	return n.writeConfig()
}

// runLine returns the command of the deploy file that starts a node.
func runLine() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	line := regexp.MustCompile(`(?m)^run = '(.*?)'`).FindSubmatch(text)
	if line == nil {
		return "", errors.New("the deploy file has no run line")
	}
	return string(line[1]), nil
}

// Start starts the process and waits until the node is ready. The log goes to log.txt in the folder.
func (n *Node) Start(logFolder string) error {
	line, err := runLine()
	if err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(logFolder, "log.txt"))
	if err != nil {
		return err
	}
	n.command = exec.Command("/bin/sh", "-c", line)
	n.command.Env = append(os.Environ(), "NODE_NAME=n0", "NODE_CONFIG="+n.file, "TMPDIR="+n.folder)
	n.command.Stdout, n.command.Stderr = log, log
	if err := n.command.Start(); err != nil {
		return err
	}
	go func() {
		_ = n.command.Wait()
		log.Close()
		close(n.Exited)
	}()
	return n.awaitReady()
}

func (n *Node) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + n.Address + "/_health")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("the node was not ready within 20 s")
}

// Signal sends a signal to the node.
func (n *Node) Signal(signal syscall.Signal) error { return n.command.Process.Signal(signal) }

// HasExited reports whether the process has ended.
func (n *Node) HasExited() bool {
	select {
	case <-n.Exited:
		return true
	default:
		return false
	}
}

// Kill ends the process and removes the temporary folder.
func (n *Node) Kill() {
	if n.command != nil && n.command.Process != nil && !n.HasExited() {
		_ = n.command.Process.Kill() // It fails only if the process has just ended.
		<-n.Exited
	}
	os.RemoveAll(n.folder)
}

// FreeAddress returns an unused loopback address.
func FreeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("no free port: %w", err)
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// Folder returns the node's temporary folder.
func (n *Node) Folder() string { return n.folder }

// Pid returns the process id of the node.
func (n *Node) Pid() int { return n.command.Process.Pid }
