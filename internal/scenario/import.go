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

// The errors of what is imported.
var (
	ErrNotBench     = errors.New("not a day of the bench")
	ErrUnknownFault = errors.New("is not known")
)

// What a fake engine does: the rate and pace of an imported scenario.
const (
	importedAttemptRate = 40.0
	importedPrefillRate = 100_000.0
	maxImportedEdges    = 8
	maxSize             = 1000 // beyond it, a size of the bench is a time in microseconds
)

// Import turns a scenario of the bench into a script: its faults, fleet and traffic, with its length scaled by shrink
// and its rate set so that each engine here is about as busy as there.
func Import(day []byte, shrink float64) (string, error) {
	in, err := readBench(day)
	if err != nil {
		return "", err
	}
	w := &scriptWriter{shrink: shrink}
	w.writeFleet(in)
	w.writeRoutes(in)
	for _, t := range in.Troubles {
		if err := w.writeFault(in, t); err != nil {
			return "", err
		}
	}
	text := w.text.String()
	if _, err := Parse("imported", []byte(text)); err != nil {
		return "", fmt.Errorf("the day cannot be played: %w", err)
	}
	return text, nil
}

// scriptWriter writes the script of an imported scenario.
type scriptWriter struct {
	text   strings.Builder
	shrink float64
}

func (w *scriptWriter) line(format string, args ...any) { fmt.Fprintf(&w.text, format+"\n", args...) }

// scaled is a time of the bench, scaled.
func (w *scriptWriter) scaled(microseconds float64) string {
	return time.Duration(math.Max(0, microseconds*w.shrink) * 1000).Round(time.Millisecond).String()
}

func unscaled(microseconds float64) string { return time.Duration(microseconds * 1000).String() }

func (w *scriptWriter) writeFleet(in *benchScenario) {
	prefill, decode := in.countEngines()
	w.line("# A day of the bench, %s of %s, %.2f of its length. Rates are of the stand-ins, not of the bench.", in.Kind,
		in.Family, w.shrink)
	w.line("day(length = %q, rate = %.1f, seed = %d, retries = %d, beginnings = %d)", w.scaled(in.Length),
		max(1, in.Traffic.Load*importedAttemptRate*float64(min(prefill, decode))*0.5), int(in.Noise)%1_000_000,
		in.Clients.Retries, max(1, in.Fam.Talks[0].Prefixes))
	w.line("edges(count = %d)", min(maxImportedEdges, len(in.Balancers)))
	w.line("fleet(readers = %d, writers = %d, pace = %.0f, send_rate = %.0f)", prefill, decode, importedPrefillRate, importedAttemptRate)
	w.line("kind(name = \"prefill\", role = \"read\", memory = 200000)\nkind(name = \"decode\", role = \"write\", memory = 150000)")
	w.line("rules(drain_grace = %q, pin = %q, cold = \"6s\", fall_window = %q)", unscaled(in.DrainGrace), unscaled(in.Fam.Release),
		unscaled(in.FallFor))
}

func (w *scriptWriter) writeRoutes(in *benchScenario) {
	effects := map[string]config.Effect{"safe": config.EffectRetriable, "keyed": config.EffectDeduped, "unsafe": config.EffectNonRetriable}
	for _, c := range in.Classes {
		w.line("route(name = %q, effect = %q, value = %g, first_token_target = %q, route_timeout = %q)", c.Name,
			effects[c.Effect], max(0.001, c.Worth), unscaled(c.Aim), unscaled(c.Deadline))
	}
	for _, c := range in.Classes {
		w.line("client(route = %q, share = %.4f)", c.Name, max(0.0001, c.Share))
	}
}

func (w *scriptWriter) writeFault(in *benchScenario, t benchFault) error {
	kind, ok := benchFaultKinds[t.Kind]
	if !ok {
		return fmt.Errorf("trouble %q of the day %w; known are %s", t.Kind, ErrUnknownFault,
			strings.Join(slices.Sorted(maps.Keys(benchFaultKinds)), ", "))
	}
	targets := len(in.Servers)
	if strings.HasPrefix(t.Kind, "balancer") {
		targets = len(in.Balancers)
	}
	fraction := min(1, max(float64(len(t.On))/float64(max(1, targets)), 0))
	// Sizes in time are microseconds there and seconds here.
	size := t.Size
	if size > maxSize {
		size = size * w.shrink / 1e6
	}
	w.line("trouble(kind = %q, at = %q, length = %q, part = %.3f, size = %.3f)", kind, w.scaled(t.At),
		w.scaled(t.Len), fraction, min(maxSize, size))
	return nil
}

// benchFaultKinds are the kinds of fault by their names in the bench.
var benchFaultKinds = map[string]FaultKind{"vanish": FaultVanish, "slow": FaultSlow, "burst": FaultBurst, "hot_key": FaultHotPrefix,
	"discovery_stale": FaultStaleList, "balancer_crash": FaultEdgeCrash, "balancer_roll": FaultEdgeRoll, "flush": FaultCacheFlush,
	"mass_restart": FaultMassRestart, "neighbour": FaultNoisyNeighbour, "pauses": FaultPauses, "handshake_slow": FaultSlowAccept,
	"ageing": FaultAgeing, "preempt": FaultPreempt}

// benchScenario is what is read of a scenario as the bench draws it; times in microseconds. Its fields are named as
// there.
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

func readBench(day []byte) (*benchScenario, error) {
	var b benchScenario
	if err := json.Unmarshal(day, &b); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotBench, err)
	}
	if b.Family != "twostage" || len(b.Servers) == 0 || len(b.Balancers) == 0 || len(b.Classes) == 0 || len(b.Fam.Talks) == 0 {
		return nil, fmt.Errorf("%w with readers and writers", ErrNotBench)
	}
	for i, s := range b.Servers {
		if s.Kind < 0 || s.Kind >= len(b.Fam.Roles) {
			return nil, fmt.Errorf("servers[%d].kind: %d has no role", i, s.Kind)
		}
	}
	return &b, nil
}
