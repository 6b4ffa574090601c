package params

// reportNames maps the wire's names of load figures to this program's.
var reportNames = map[string]string{"x0": "memory_share", "x1": "waiting_thousand_tokens", "active": "open",
	"avg_ms": "recent_lag_ms"}

// LoadReport gives the figures of a load report this program's names.
func LoadReport(telemetry map[string]float64) map[string]float64 {
	out := map[string]float64{}
	for name, v := range telemetry {
		if known, ok := reportNames[name]; ok {
			name = known
		}
		out[name] = v
	}
	return out
}
