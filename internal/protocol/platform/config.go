package platform

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"sandcourse/internal/config"
	"sandcourse/internal/config/params"
	"sandcourse/internal/config/script"
	"sandcourse/internal/invariant"
)

// Told is what the platform tells a node at its start, and again when it asks it to read anew. Keys match in any case;
// the tags have the spelling that refusals print.
type Told struct {
	Name      string `json:"Name"`
	Listen    string `json:"Listen"`
	Discovery string `json:"Discovery"`
	Seed      string `json:"Seed"`
	Limits    struct {
		Cores    float64 `json:"Cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"Sockets"`
	} `json:"Limits"`
	PeerListen string          `json:"peer_listen"`
	Peers      []string        `json:"Peers"`
	PeersAll   string          `json:"peers_all"`
	Known      json.RawMessage `json:"Known"`
	Settings   map[string]any  `json:"Settings"`
}

// MaxTold is the most bytes that are read of a configuration.
const MaxTold = 16 << 20

// ReadTold reads a configuration and checks it whole. The error, if any, is of type script.Faults.
func ReadTold(file string, data []byte) (*Told, error) {
	var t Told
	var all script.Faults
	say := func(format string, args ...any) { all = append(all, file+": "+fmt.Sprintf(format, args...)) }
	if err := json.Unmarshal(data, &t); err != nil {
		say("it is no JSON object of the known form: %v", err)
		return nil, all
	}
	address := func(name, text string, need bool) {
		if at, err := netip.ParseAddrPort(text); (err != nil || at.Port() == 0) && (need || text != "") {
			say("%s: %q is not address:port", name, text)
		}
	}
	address("listen", t.Listen, true)
	address("discovery", t.Discovery, true)
	address("peer_listen", t.PeerListen, false)
	address("peers_all", t.PeersAll, false)
	for i, p := range t.Peers {
		address(fmt.Sprintf("peers[%d]", i), p, true)
	}
	if t.Settings == nil {
		say("settings: they are missing; an object is needed")
	}
	if t.Limits.Sockets < 64 && t.Limits.Sockets != 0 {
		say("limits.sockets: %d is under 64, which a node needs", t.Limits.Sockets)
	}
	if t.Limits.MemoryMB < 0 || t.Limits.Cores < 0 {
		say("limits: memory_mb and cores must not be negative")
	}
	if len(all) > 0 {
		return nil, all
	}
	return &t, nil
}

// SeedNumber is the seed as a number; what is no hexadecimal one counts by its text's length.
func (t *Told) SeedNumber() uint64 {
	n, err := strconv.ParseUint(t.Seed, 16, 64)
	if err != nil {
		return uint64(len(t.Seed))
	}
	return n
}

// Reports are the fields of load reports; none where the deployment has no reports.
func (t *Told) Reports() (fields []string) {
	f := params.Of(t.Settings)
	if how, _ := f["report.how"].(string); how == "" || how == "off" {
		return nil
	}
	for i := range count(f, "report.fields") {
		if name, ok := f[fmt.Sprintf("report.fields.%d", i)].(string); ok {
			fields = append(fields, name)
		}
	}
	return fields
}

func count(f map[string]any, name string) int { n, _ := f[name+".count"].(float64); return int(n) }

// Memory is how many bytes the node may take; 192 MB where it is not told.
func (t *Told) Memory() int {
	if t.Limits.MemoryMB == 0 {
		return 192 << 20
	}
	return int(t.Limits.MemoryMB * (1 << 20))
}

// spent are descriptors that are neither a client's nor a line: pollers, listeners, discovery, peers, logs.
const spent = 32

// Deployment is what the configuration says, in the program's own terms. The error, if any, is of type
// script.Faults.
func (t *Told) Deployment(file string) (*config.Deployment, error) {
	d := config.Defaults()
	f := params.Of(t.Settings)
	d.File, d.Node, d.Chat, d.Given = file, t.Name, t.Listen, f
	number := func(name string, absent float64) float64 {
		if v, ok := f[name].(float64); ok {
			return v
		}
		return absent
	}
	span := func(name string, absent time.Duration) time.Duration {
		return time.Duration(number(name, float64(absent)))
	}
	word := func(format string, args ...any) string { v, _ := f[fmt.Sprintf(format, args...)].(string); return v }
	d.Me, d.Nodes = int(number("me", 0)), max(1, int(number("nodes", 1)))
	for i := range count(f, "zones") {
		d.Zones = append(d.Zones, word("zones.%d", i))
	}
	for i := range count(f, "kinds") {
		role := word("engine_facts.role_of_kind.%d", i)
		d.Kinds = append(d.Kinds, config.EngineKind{Name: word("kinds.%d", i), Role: role,
			Memory: number(fmt.Sprintf("engine_facts.memory_of_kind.%d", i), 0)})
	}
	for i := range count(f, "routes") {
		route := func(name string) string { return fmt.Sprintf("routes.%d.%s", i, name) }
		d.Routes = append(d.Routes, config.Route{Name: word("%s", route("name")), Effect: word("%s", route("effect")),
			Value: number(route("value"), 1), FirstToken: span(route("first_token_target"), time.Second),
			PerTokns: span(fmt.Sprintf("engine_facts.target_per_1000_tokens.%d", i), 0),
			// A client's own word stands for the time that it waits, be it longer than the route's.
			Timeout: maxGiveUp, DedupWindow: span(route("dedup_window"), 0), DedupGroup: word("%s", route("dedup_group"))})
	}
	d.Rules.DrainGrace = span("rules.drain_grace", d.Rules.DrainGrace)
	d.Rules.Pin = span("engine_facts.pin", d.Rules.Pin)
	d.Lines.DialTime = span("limits.dial_timeout", d.Lines.DialTime)
	// Engines close at the latest then, so nothing is written to one that has been idle for nearly as long.
	idle := span("limits.conn_idle", d.Lines.Idle)
	d.Lines.Idle = max(0, min(idle*2/3, idle-invariant.HoldUp))
	// A second answer may come some milliseconds behind a stream. Twenty is a way there and back on a loaded machine.
	d.Lines.Settle = 20 * time.Millisecond
	d.Lines.IdleUnsafe = min(d.Lines.IdleUnsafe, d.Lines.Idle)
	d.Sends, d.Tick = int(number("limits.sends", float64(d.Sends))), span("tick", d.Tick)
	d.Probes, _ = f["limits.probes"].(bool)
	bound(d, t, f)
	var all script.Faults
	// Absent, it has a default. What is there and no number must not be taken for absent.
	if pin, given := f["engine_facts.pin"]; given {
		if _, ok := pin.(float64); !ok {
			all = append(all, fmt.Sprintf("%s: settings: family_info: pin_limit %v is no number", file, pin))
		}
	}
	for i, r := range d.Routes {
		if !slices.Contains(config.Effects, r.Effect) {
			all = append(all, fmt.Sprintf("%s: settings: route %d: effect %q is none of %q",
				file, i, r.Effect, config.Effects))
		}
	}
	d.Check(func(format string, args ...any) {
		all = append(all, file+": settings: "+fmt.Sprintf(format, args...))
	})
	if len(all) > 0 {
		return nil, all
	}
	return d, nil
}

// bound fits what the node holds into its limits.
func bound(d *config.Deployment, t *Told, f map[string]any) {
	sockets, memory := cmp.Or(t.Limits.Sockets, 1024)-spent, t.Memory()
	// An inference has a client's connection and at most one line, and lines that lie idle are had back at need.
	d.Limits.Conns, d.Lines.All = sockets*46/100, sockets/2
	d.Limits.Open = d.Limits.Conns
	d.Limits.Bytes, d.Inbox = memory/6, memory/16
	d.Body, d.Head = 256<<10, 16<<10
	// Half a second under the three that the platform waits for a word to one that says nothing of use.
	d.Limits.FirstTime = 2500 * time.Millisecond
	d.Limits.HeadTime, d.Limits.BodyTime = d.Limits.FirstTime, d.Limits.FirstTime
	d.Limits.IdleTime, d.Limits.DrainTime = time.Minute, time.Second
	// A second under the five after which a client that is left waiting has lost its stream.
	d.Stall = 4 * time.Second
	d.RetryAfter = 0
	if again, _ := f["limits.retry_after"].(bool); again {
		most, _ := f["limits.max_retry_after"].(float64)
		d.RetryAfter = min(500*time.Millisecond, time.Duration(most))
	}
	// For as long as long reads in a queue take.
	d.ReleaseFor = 3 * d.Rules.Pin
	// Connections still come for 0.4 s after the word to stop.
	d.Linger = 600 * time.Millisecond
	d.Finish = time.Minute
	// The kill comes 0.7 s after the longest wait of a client, or after three seconds if that is longer. Streams
	// that are cut then go on elsewhere only where clients ask for the rest.
	if resume, _ := f["engine_facts.resume"].(bool); resume {
		longest := time.Duration(0)
		for i := range d.Routes {
			wait, _ := f[fmt.Sprintf("routes.%d.route_timeout", i)].(float64)
			longest = max(longest, time.Duration(wait))
		}
		kill := min(longest, 3*time.Second) + 700*time.Millisecond
		d.Stay, d.HandOver = max(d.Linger, kill-1500*time.Millisecond), max(d.Linger, kill-400*time.Millisecond)
	}
}
