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

// Limits of the protocol: a reservation must be used or released within 1 s, with a tolerance of 300 ms. The rest of the slack
// is for a machine that runs other tests at the same time.
const (
	reservationLimit = time.Second
	reservationSlack = 300*time.Millisecond + 700*time.Millisecond
)

// edgeProcesses is a set of edges, each in a separate process as when deployed, with a fleet of fake engines.
type edgeProcesses struct {
	t         *testing.T
	log       *audit.Log
	fleet     *platformengine.Fleet
	addresses []string // the addresses of the edges
	pids      []int
	// configs are the configuration files of the edges, all with agentAddress as the address of the discovery agent.
	configs      []string
	commands     []*exec.Cmd
	agentAddress string
	// obligations are further fields of the obligations object of nodeConfig, in JSON, each preceded by a comma.
	obligations string
	objective   time.Duration // latency objective for the first token; 0 means longObjective
}

func startEdges(t *testing.T, edges int, fleet *platformengine.Fleet, log *audit.Log, engines []platformengine.Config) *edgeProcesses {
	t.Helper()
	return startPreparedEdges(t, edges, fleet, log, engines, nil)
}

// startPreparedEdges is startEdges with a function that is called for each command before it starts.
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
	p.agentAddress = newDiscoveryAgent(t, list, nil)
	binary := edgeBinary(t)
	for i := range edges {
		p.startEdge(binary, i, edges, p.agentAddress, list, prepare)
	}
	for _, addr := range p.addresses {
		p.awaitReady(addr)
	}
	return p
}

// newDiscoveryAgent starts a discovery agent with a list that never changes, and returns its address. If polls is not nil,
// it counts the agent's requests.
func newDiscoveryAgent(t *testing.T, list string, polls *atomic.Int64) string {
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if polls != nil {
			polls.Add(1)
		}
		if r.URL.RawQuery == "" {
			io.WriteString(w, list)
			return
		}
		select { // The response is that of a long poll without changes.
		case <-r.Context().Done():
		case <-time.After(time.Second):
			io.WriteString(w, `{"generation":1,"reset":false,"instances":[]}`)
		}
	}))
	t.Cleanup(agent.Close)
	return strings.TrimPrefix(agent.URL, "http://")
}

// edgeBinary returns the path of the edge's binary, which is built once for all tests.
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

// buildFolder contains the built edge while the tests run.
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
	client := &http.Client{Timeout: time.Second} // An edge that does not respond is not ready.
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		response, err := client.Get("http://" + addr + platform.HealthPath)
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	p.t.Fatalf("%s not ready within 20 s", addr)
}

// call sends one request and returns the status of the response, or 0 if no response begins within the given wait.
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
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// waitForRelease waits until the fleet holds no reservations, but at most for 8 times reservationLimit.
func (p *edgeProcesses) waitForRelease() {
	for end := time.Now().Add(8 * reservationLimit); p.fleet.HeldReservations() > 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
}

// checkReservations reports the reservations that were held for too long.
func (p *edgeProcesses) checkReservations() {
	p.t.Helper()
	for _, violation := range p.log.Check(audit.Rules{ReservationLimit: reservationLimit, Tolerance: reservationSlack}, time.Now()) {
		if violation.Rule == audit.RuleReservation {
			p.t.Errorf("%s\n\t%s", violation, strings.Join(p.log.Trace(violation.RequestID), "\n\t"))
		}
	}
}

// Messages on different connections are not ordered. Here an engine detects that an edge abandoned an attempt only after the
// release for the request has arrived, which then has no effect. Real processes held reservations too long in this way.
func TestReleaseThatOvertakesAttemptEnd(t *testing.T) {
	log := &audit.Log{}
	fleet := platformengine.NewFleet(log)
	var overtaken atomic.Int64
	fleet.BeforeCloseDetected = func(_ string, released <-chan struct{}) {
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
	var wg sync.WaitGroup
	for i, address := range p.addresses {
		for j := range 4 {
			wg.Go(func() {
				class := []string{"chat", "alert"}[j%2]
				p.call(http.DefaultClient, address, fmt.Sprintf("n%dq%d", i, j), class, 400*time.Millisecond)
			})
		}
	}
	wg.Wait()
	p.waitForRelease()
	p.checkReservations()
	if overtaken.Load() < 4 {
		t.Errorf("only %d abandoned attempts were overtaken by a release, want at least 4", overtaken.Load())
	}
}

// No reservation is held for too long while edges are paused, other processes use the cores, engines notice closed
// connections late and clients have short deadlines. The events are drawn from a seed; their order depends on the machine.
func TestConcurrentEdgesReleaseReservationsInTime(t *testing.T) {
	const seed, edges, duration = 20261202, 3, 3 * time.Second
	log := &audit.Log{}
	fleet := platformengine.NewFleet(log)
	random := &lockedRand{rand: rand.New(rand.NewPCG(seed, 1))}
	fleet.BeforeCloseDetected = func(string, <-chan struct{}) { time.Sleep(random.durationUpTo(60 * time.Millisecond)) }
	p := startEdges(t, edges, fleet, log, []platformengine.Config{
		{ID: "s-1", Role: platformengine.Prefill, Slots: 2, WorkTime: 20 * time.Millisecond},
		{ID: "s-2", Role: platformengine.Prefill, Slots: 2, WorkTime: 20 * time.Millisecond},
		{ID: "s-3", Role: platformengine.Decode, Slots: 2, WorkTime: 30 * time.Millisecond, Events: 5},
		{ID: "s-4", Role: platformengine.Decode, Slots: 2, WorkTime: 30 * time.Millisecond, Events: 5},
	})
	ctx, stop := context.WithTimeout(context.Background(), duration)
	defer stop()
	var wg sync.WaitGroup
	for range max(1, runtime.NumCPU()/4) { // These goroutines are the load of other processes.
		wg.Go(func() {
			for ctx.Err() == nil {
			}
		})
	}
	for i, pid := range p.pids {
		wg.Go(func() { p.pause(ctx, pid, random) })
		for j := range 12 {
			wg.Go(func() { p.callRepeatedly(ctx, i, j, random) })
		}
	}
	wg.Wait()
	p.waitForRelease()
	p.checkReservations()
	if fleet.Releases() == 0 {
		t.Error("no reservation was released: the load is too small for this test")
	}
}

// pause stops a process repeatedly until ctx ends, each time for up to a quarter of reservationLimit.
func (p *edgeProcesses) pause(ctx context.Context, pid int, random *lockedRand) {
	for ctx.Err() == nil {
		time.Sleep(random.durationUpTo(500 * time.Millisecond))
		syscall.Kill(pid, syscall.SIGSTOP)
		time.Sleep(random.durationUpTo(reservationLimit / 4))
		syscall.Kill(pid, syscall.SIGCONT)
	}
}

// callRepeatedly sends one request after another until ctx ends.
func (p *edgeProcesses) callRepeatedly(ctx context.Context, edge, number int, random *lockedRand) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		name := fmt.Sprintf("n%dc%dq%d", edge, number, n)
		class := []string{"chat", "alert"}[number%2]
		p.call(client, p.addresses[edge], name, class, 50*time.Millisecond+random.durationUpTo(500*time.Millisecond))
	}
}

// lockedRand is a source of random durations that is safe for concurrent use.
type lockedRand struct {
	mu   sync.Mutex
	rand *rand.Rand
}

func (r *lockedRand) durationUpTo(limit time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.rand.Int64N(int64(limit)))
}
