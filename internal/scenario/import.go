package scenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"sandcourse/internal/config"
)

// Errors of Import.
var (
	ErrNotBenchScenario = errors.New("not a benchmark scenario")
	ErrUnknownFault     = errors.New("unknown kind of fault")
)

// Rates of the fake engines in an imported scenario, and limits on the number of edges and the sizes of faults.
const (
	importedAttemptRate = 40.0
	importedPrefillRate = 100_000.0
	maxImportedEdges    = 8
	maxFaultSize        = 1000 // Larger sizes in the benchmark are times in microseconds.
)

// Import converts a benchmark scenario to a script with the same faults, fleet and traffic. The length of the script is scaled
// by shrink, and its request rate is set so that the fake engines are about as busy as the engines of the benchmark.
func Import(data []byte, shrink float64) (string, error) {
	in, err := parseBenchScenario(data)
	if err != nil {
		return "", err
	}
	w := &scriptWriter{shrink: shrink}
	w.writeFleet(in)
	w.writeRoutes(in)
	for _, fault := range in.Troubles {
		if err := w.writeFault(in, fault); err != nil {
			return "", err
		}
	}
	text := w.text.String()
	if _, err := Parse("imported", []byte(text)); err != nil {
		return "", fmt.Errorf("imported script is invalid: %w", err)
	}
	return text, nil
}

// scriptWriter writes the script of an imported scenario.
type scriptWriter struct {
	text   strings.Builder
	shrink float64
}

func (w *scriptWriter) writeLine(format string, args ...any) {
	fmt.Fprintf(&w.text, format+"\n", args...)
}

// scaledDuration formats a time of the benchmark, scaled by shrink.
func (w *scriptWriter) scaledDuration(microseconds float64) string {
	return time.Duration(math.Max(0, microseconds*w.shrink) * 1000).Round(time.Millisecond).String()
}

func unscaledDuration(microseconds float64) string {
	return time.Duration(microseconds * 1000).String()
}

func (w *scriptWriter) writeFleet(in *benchScenario) {
	prefill, decode := in.countEngines()
	w.writeLine("# Benchmark scenario of kind %s, family %s, scaled to %.2f of its length. The rates are those of the fake engines, not of the benchmark.",
		in.Kind, in.Family, w.shrink)
	w.writeLine("day(length = %q, rate = %.1f, seed = %d, retries = %d, beginnings = %d)", w.scaledDuration(in.Length),
		max(1, in.Traffic.Load*importedAttemptRate*float64(min(prefill, decode))*0.5), int(in.Noise)%1_000_000,
		in.Clients.Retries, max(1, in.Fam.Talks[0].Prefixes))
	w.writeLine("edges(count = %d)", min(maxImportedEdges, len(in.Balancers)))
	w.writeLine("fleet(readers = %d, writers = %d, pace = %.0f, send_rate = %.0f)", prefill, decode, importedPrefillRate, importedAttemptRate)
	w.writeLine("kind(name = \"prefill\", role = \"read\", memory = 200000)\nkind(name = \"decode\", role = \"write\", memory = 150000)")
	w.writeLine("rules(drain_grace = %q, pin = %q, cold = \"6s\", fall_window = %q)", unscaledDuration(in.DrainGrace), unscaledDuration(in.Fam.Release),
		unscaledDuration(in.FallFor))
}

func (w *scriptWriter) writeRoutes(in *benchScenario) {
	effects := map[string]config.Effect{"safe": config.EffectRetriable, "keyed": config.EffectDeduped, "unsafe": config.EffectNonRetriable}
	for _, c := range in.Classes {
		w.writeLine("route(name = %q, effect = %q, value = %g, first_token_target = %q, route_timeout = %q)", c.Name,
			effects[c.Effect], max(0.001, c.Worth), unscaledDuration(c.Aim), unscaledDuration(c.Deadline))
	}
	for _, c := range in.Classes {
		w.writeLine("client(route = %q, share = %.4f)", c.Name, max(0.0001, c.Share))
	}
}

func (w *scriptWriter) writeFault(in *benchScenario, fault benchFault) error {
	kind, ok := benchFaultKinds[fault.Kind]
	if !ok {
		return fmt.Errorf("trouble %q: %w; known kinds are %s", fault.Kind, ErrUnknownFault,
			strings.Join(slices.Sorted(maps.Keys(benchFaultKinds)), ", "))
	}
	targets := len(in.Servers)
	if strings.HasPrefix(fault.Kind, "balancer") {
		targets = len(in.Balancers)
	}
	fraction := min(1, max(float64(len(fault.On))/float64(max(1, targets)), 0))
	// Sizes that are times are in microseconds in the benchmark and in seconds in a script.
	size := fault.Size
	if size > maxFaultSize {
		size = size * w.shrink / 1e6
	}
	w.writeLine("trouble(kind = %q, at = %q, length = %q, part = %.3f, size = %.3f)", kind, w.scaledDuration(fault.At),
		w.scaledDuration(fault.Len), fraction, min(maxFaultSize, size))
	return nil
}

// benchFaultKinds maps the benchmark's fault names to fault kinds.
var benchFaultKinds = map[string]FaultKind{"vanish": FaultVanish, "slow": FaultSlow, "burst": FaultBurst, "hot_key": FaultHotPrefix,
	"discovery_stale": FaultStaleList, "balancer_crash": FaultEdgeCrash, "balancer_roll": FaultEdgeRoll, "flush": FaultCacheFlush,
	"mass_restart": FaultMassRestart, "neighbour": FaultNoisyNeighbour, "pauses": FaultPauses, "handshake_slow": FaultSlowAccept,
	"ageing": FaultAgeing, "preempt": FaultPreempt}

// benchScenario holds the parts of a benchmark scenario that Import uses. Times are in microseconds. Fields without a tag are
// decoded by their names.
type benchScenario struct {
	Family, Kind string
	Noise        float64
	Length       float64
	DrainGrace   float64 `json:"drain_grace"`
	FallFor      float64 `json:"fall_for"`
	Traffic      struct{ Load float64 }
	Clients      struct{ Retries int }
	Classes      []struct {
		Name, Effect                string
		Share, Aim, Deadline, Worth float64
	}
	Servers   []struct{ Kind int }
	Balancers []json.RawMessage
	Troubles  []benchFault
	Fam       struct {
		Roles   []string
		Release float64
		Talks   []struct{ Prefixes int }
	}
}

type benchFault struct {
	Kind          string
	At, Len, Size float64
	On            []int
}

func (b *benchScenario) countEngines() (prefill, decode int) {
	for _, s := range b.Servers {
		if config.Role(b.Fam.Roles[s.Kind]) == config.RoleDecode {
			decode++
		} else {
			prefill++
		}
	}
	return prefill, decode
}

func parseBenchScenario(data []byte) (*benchScenario, error) {
	var b benchScenario
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotBenchScenario, err)
	}
	if b.Family != "twostage" || len(b.Servers) == 0 || len(b.Balancers) == 0 || len(b.Classes) == 0 || len(b.Fam.Talks) == 0 {
		return nil, fmt.Errorf("%w with prefill and decode engines", ErrNotBenchScenario)
	}
	for i, s := range b.Servers {
		if s.Kind < 0 || s.Kind >= len(b.Fam.Roles) {
			return nil, fmt.Errorf("servers[%d].kind: %d has no entry in fam.roles", i, s.Kind)
		}
	}
	return &b, nil
}
