package main_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"sandcourse/internal/audit"
	"sandcourse/internal/fake/platformengine"
	"sandcourse/internal/protocol/platform"
)

// The protocol's limits: reservations are used or released within a second and 300 ms. The rest of the slack is for a
// machine that runs other tests at the same time.
const (
	pinLimit = time.Second
	pinSlack = 300*time.Millisecond + 700*time.Millisecond
)

// edgeProcesses is some edges as they are deployed, each a process of its own, with a fleet of fake engines.
type edgeProcesses struct {
	t         *testing.T
	log       *audit.Log
	fleet     *platformengine.Fleet
	addresses []string // their addresses
	pids      []int
	// configs are the files of their configurations, agent is the address of discovery in them.
	configs  []string
	commands []*exec.Cmd
	agent    string
	// obligations are added to those of nodeConfig: further fields of the JSON object, each behind a comma.
	obligations string
	objective   time.Duration // for the first token; 0 for longer than any client waits
}

func startEdges(t *testing.T, edges int, fleet *platformengine.Fleet, log *audit.Log, engines []platformengine.Config) *edgeProcesses {
	t.Helper()
	return startPreparedEdges(t, edges, fleet, log, engines, nil)
}

// startPreparedEdges is startEdges with something done to each command before it starts.
func startPreparedEdges(t *testing.T, edges int, fleet *platformengine.Fleet, log *audit.Log, engines []platformengine.Config,
	prepare func(*exec.Cmd)) *edgeProcesses {
	t.Helper()
	p := &edgeProcesses{t: t, log: log, fleet: fleet}
	var entries []string
	for _, c := range engines {
		e, err := fleet.Start(c)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Stop)
		entries = append(entries, e.Entry())
	}
	list := fmt.Sprintf(`{"generation":1,"reset":true,"instances":[%s]}`, strings.Join(entries, ","))
	p.agent = newDiscoveryAgent(t, list, nil)
	binary := edgeBinary(t)
	for i := range edges {
		p.startEdge(binary, i, edges, p.agent, list, prepare)
	}
	for _, addr := range p.addresses {
		p.awaitReady(addr)
	}
	return p
}

// newDiscoveryAgent starts a discovery agent with a list that never changes, and returns its address. Polls counts its
// requests.
func newDiscoveryAgent(t *testing.T, list string, polls *atomic.Int64) string {
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if polls != nil {
			polls.Add(1)
		}
		if r.URL.RawQuery == "" {
			io.WriteString(w, list)
			return
		}
		select { // nothing changes
		case <-r.Context().Done():
		case <-time.After(time.Second):
			io.WriteString(w, `{"generation":1,"reset":false,"instances":[]}`)
		}
	}))
	t.Cleanup(agent.Close)
	return strings.TrimPrefix(agent.URL, "http://")
}

// edgeBinary builds the edge once for all tests.
func edgeBinary(t *testing.T) string {
	t.Helper()
	path, err := buildOnce()
	if err != nil {
		t.Fatal(err)
	}
	return path
}

var buildOnce = sync.OnceValues(func() (string, error) {
	binary := filepath.Join(buildFolder, "sandcourse-edge")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return binary, nil
})

// buildFolder has the built edge while the tests run.
var buildFolder string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "sandcourse-edge")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	buildFolder = folder
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

const nodeConfig = `{"name":"n%d","listen":%q,"discovery":%q,"seed":"%d","limits":{"sockets":1024},"known":%s,
 "settings":{"areas":["a"],"zone":0,"index":%d,"peers_total":%d,"tick_us":4000,"flavors":["read","write"],"ceilings":{
 "try_limit":5,"cancel":true,"probes":true,"retry_after":true,"max_retry_after_us":1000000,"dial_timeout_us":250000},
 "report":{"how":"inline","fields":["x0","x1"]},"family_info":{"stage_of_kind":["read","write"],"pin_limit_us":1000000,
 "kind_memory_tokens":[1000000,1000000]},"classes":[{"name":"chat","effect":"retryable","worth":1,"objective_us":%[8]d},
 {"name":"alert","effect":"fragile","worth":5,"objective_us":%[8]d}],"obligations":{"drain_grace_us":250000%[9]s}}}`

// longObjective is longer than any client waits.
const longObjective = 9 * time.Second

func (p *edgeProcesses) startEdge(binary string, i, edges int, discovery, list string, prepare func(*exec.Cmd)) {
	addr := freeAddress(p.t)
	config := filepath.Join(p.t.TempDir(), "config.json")
	text := fmt.Sprintf(nodeConfig, i, addr, discovery, i+1, list, i, edges, cmp.Or(p.objective, longObjective).Microseconds(), p.obligations)
	if err := os.WriteFile(config, []byte(text), 0o644); err != nil {
		p.t.Fatal(err)
	}
	edge := exec.Command(binary, "--config", config)
	if prepare != nil {
		prepare(edge)
	}
	startCommand(p.t, edge)
	p.addresses, p.pids = append(p.addresses, addr), append(p.pids, edge.Process.Pid)
	p.configs, p.commands = append(p.configs, config), append(p.commands, edge)
}

func (p *edgeProcesses) awaitReady(addr string) {
	client := &http.Client{Timeout: time.Second} // an edge that hangs is not ready
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		answer, err := client.Get("http://" + addr + platform.HealthPath)
		if err != nil {
			continue
		}
		answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return
		}
	}
	p.t.Fatalf("%s never becomes ready", addr)
}

// call is one request of a client that waits for a time and then disconnects. It returns the status.
func (p *edgeProcesses) call(client *http.Client, address, name, class string, wait time.Duration) (status int) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+platform.CompletionsPath, strings.NewReader(`{"model":"chat"}`))
	if err != nil {
		p.t.Error(err)
		return 0
	}
	for field, value := range map[string]string{platform.HeaderRequestID: name, platform.HeaderRequestClass: class,
		platform.HeaderAffinityKey: "s" + name, platform.HeaderTimeout: fmt.Sprintf("%.3f", wait.Seconds())} {
		r.Header.Set(field, value)
	}
	answer, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	io.Copy(io.Discard, answer.Body)
	return answer.StatusCode
}

// waitForRelease waits until the fleet has no reservation, at most for several limits.
func (p *edgeProcesses) waitForRelease() {
	for end := time.Now().Add(8 * pinLimit); p.fleet.HeldReservations() > 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
}

// checkRules reports the reservations that were held for too long.
func (p *edgeProcesses) checkRules() {
	p.t.Helper()
	for _, b := range p.log.Check(audit.Rules{ReservationLimit: pinLimit, Tolerance: pinSlack}, time.Now()) {
		if b.Rule == audit.RuleReservation {
			p.t.Errorf("%s\n\t%s", b, strings.Join(p.log.Trace(b.RequestID), "\n\t"))
		}
	}
}

// Nothing orders what two engines get on two connections. Here the engine of an attempt that an edge abandons learns of it
// only after the release for the request has arrived, which then releases nothing. Real processes violated rule 5 so.
func TestReleaseBeforeAttemptEnds(t *testing.T) {
	log := &audit.Log{}
	fleet := platformengine.NewFleet(log)
	var overtaken atomic.Int64
	fleet.BeforeNotice = func(_ string, released <-chan struct{}) {
		select {
		case <-released:
			overtaken.Add(1)
		case <-time.After(5 * time.Second):
		}
	}
	p := startEdges(t, 2, fleet, log, []platformengine.Config{
		{ID: "s-1", Role: platformengine.Prefill, Slots: 8, WorkTime: 5 * time.Millisecond},
		{ID: "s-2", Role: platformengine.Decode, Slots: 1, WorkTime: 150 * time.Millisecond, Events: 20},
	})
	var all sync.WaitGroup
	for i, address := range p.addresses {
		for j := range 4 {
			all.Go(func() {
				class := []string{"chat", "alert"}[j%2]
				p.call(http.DefaultClient, address, fmt.Sprintf("n%dq%d", i, j), class, 400*time.Millisecond)
			})
		}
	}
	all.Wait()
	p.waitForRelease()
	p.checkRules()
	if overtaken.Load() < 4 {
		t.Errorf("only %d attempts were abandoned and overtaken by a release", overtaken.Load())
	}
}

// Edges that are not run for a while, other processes that use the cores, engines that notice closed connections late, and
// clients with short deadlines: no reservation is held for too long. What happens is drawn by a seed, and its order is
// the machine's.
func TestReservationsOfConcurrentEdges(t *testing.T) {
	const seed, edges, lasts = 20261202, 3, 3 * time.Second
	log := &audit.Log{}
	fleet := platformengine.NewFleet(log)
	random := &lockedRand{rand: rand.New(rand.NewPCG(seed, 1))}
	fleet.BeforeNotice = func(string, <-chan struct{}) { time.Sleep(random.durationUpTo(60 * time.Millisecond)) }
	p := startEdges(t, edges, fleet, log, []platformengine.Config{
		{ID: "s-1", Role: platformengine.Prefill, Slots: 2, WorkTime: 20 * time.Millisecond},
		{ID: "s-2", Role: platformengine.Prefill, Slots: 2, WorkTime: 20 * time.Millisecond},
		{ID: "s-3", Role: platformengine.Decode, Slots: 2, WorkTime: 30 * time.Millisecond, Events: 5},
		{ID: "s-4", Role: platformengine.Decode, Slots: 2, WorkTime: 30 * time.Millisecond, Events: 5},
	})
	ctx, stop := context.WithTimeout(context.Background(), lasts)
	defer stop()
	var all sync.WaitGroup
	for range max(1, runtime.NumCPU()/4) { // other processes
		all.Go(func() {
			for ctx.Err() == nil {
			}
		})
	}
	for i, pid := range p.pids {
		all.Go(func() { p.pause(ctx, pid, random) })
		for j := range 12 {
			all.Go(func() { p.callRepeatedly(ctx, i, j, random) })
		}
	}
	all.Wait()
	p.waitForRelease()
	p.checkRules()
	if fleet.Releases() == 0 {
		t.Error("nothing was released: the load is too small to show anything")
	}
}

// pause keeps a process from running, again and again, for up to a quarter of the limit.
func (p *edgeProcesses) pause(ctx context.Context, pid int, random *lockedRand) {
	for ctx.Err() == nil {
		time.Sleep(random.durationUpTo(500 * time.Millisecond))
		syscall.Kill(pid, syscall.SIGSTOP)
		time.Sleep(random.durationUpTo(pinLimit / 4))
		syscall.Kill(pid, syscall.SIGCONT)
	}
}

// callRepeatedly is a client that sends one request after the other.
func (p *edgeProcesses) callRepeatedly(ctx context.Context, edge, number int, random *lockedRand) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		name := fmt.Sprintf("n%dc%dq%d", edge, number, n)
		class := []string{"chat", "alert"}[number%2]
		p.call(client, p.addresses[edge], name, class, 50*time.Millisecond+random.durationUpTo(500*time.Millisecond))
	}
}

// lockedRand is a source of random times for several goroutines.
type lockedRand struct {
	mu   sync.Mutex
	rand *rand.Rand
}

func (r *lockedRand) durationUpTo(most time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.rand.Int64N(int64(most)))
}
