package platform

import (
	"encoding/json"
	"fmt"
	"strconv"

	"sandcourse/internal/config/params"
	"sandcourse/internal/config/script"
	"sandcourse/internal/netaddr"
)

// MaxConfigBytes is the maximum size of a configuration.
const MaxConfigBytes = 16 << 20

const (
	minSockets         = 64
	defaultMemoryBytes = 192 << 20
)

// NodeConfig is the configuration that the platform passes to a node when it starts, and again when it must reload. Keys are
// not case-sensitive; the tags have the spelling that error messages print.
type NodeConfig struct {
	Name                 string          `json:"Name"`
	ListenAddress        string          `json:"Listen"`
	DiscoveryAddress     string          `json:"Discovery"`
	Seed                 string          `json:"Seed"` // hexadecimal number; see SeedValue
	Limits               ResourceLimits  `json:"Limits"`
	PeerListenAddress    string          `json:"peer_listen"` // address for gossip; empty to disable gossip
	Peers                []string        `json:"Peers"`       // addresses of all nodes including this one, indexed by node number
	PeerBroadcastAddress string          `json:"peers_all"`   // address that reaches all nodes; optional
	CachedEndpoints      json.RawMessage `json:"Known"`       // the last discovery snapshot that the node received
	Settings             map[string]any  `json:"Settings"`
}

// ResourceLimits bounds the resources of a node; 0 selects the default.
type ResourceLimits struct {
	Cores    float64 `json:"Cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"Sockets"`
}

// ParseNodeConfig decodes and validates a configuration. The error, if any, is of type script.Faults and lists all faults.
func ParseNodeConfig(file string, data []byte) (*NodeConfig, error) {
	var c NodeConfig
	var faults script.Faults
	addFault := func(format string, args ...any) {
		faults = append(faults, &script.Fault{File: file, Err: fmt.Errorf(format, args...)})
	}
	if err := json.Unmarshal(data, &c); err != nil {
		addFault("configuration is not a JSON object of the expected form: %w", err)
		return nil, faults
	}
	c.checkAddresses(addFault)
	if c.Settings == nil {
		addFault("settings: missing; an object is required")
	}
	if c.Limits.Sockets < minSockets && c.Limits.Sockets != 0 {
		addFault("limits.sockets: %d is less than the minimum of %d", c.Limits.Sockets, minSockets)
	}
	if c.Limits.MemoryMB < 0 || c.Limits.Cores < 0 {
		addFault("limits: memory_mb and cores must not be negative")
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return &c, nil
}

func (c *NodeConfig) checkAddresses(addFault func(format string, args ...any)) {
	check := func(name, address string) {
		if err := netaddr.Check(address); err != nil {
			addFault("%s: %w", name, err)
		}
	}
	checkOptional := func(name, address string) {
		if address != "" {
			check(name, address)
		}
	}
	check("listen", c.ListenAddress)
	check("discovery", c.DiscoveryAddress)
	checkOptional("peer_listen", c.PeerListenAddress)
	checkOptional("peers_all", c.PeerBroadcastAddress)
	for i, peer := range c.Peers {
		check(fmt.Sprintf("peers[%d]", i), peer)
	}
}

// SeedValue returns the seed as a number. For a seed that is not hexadecimal it returns the length of the text.
func (c *NodeConfig) SeedValue() uint64 {
	n, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return uint64(len(c.Seed))
	}
	return n
}

// LoadReportFields returns the fields of load reports, or nil if the deployment has no load reports.
func (c *NodeConfig) LoadReportFields() (fields []string) {
	s := params.Flatten(c.Settings)
	if mode := s.Text("report.how"); mode == "" || mode == "off" {
		return nil
	}
	for i := range s.Count("report.fields") {
		if name, ok := s[fmt.Sprintf("report.fields.%d", i)].(string); ok {
			fields = append(fields, name)
		}
	}
	return fields
}

// MemoryBytes returns the number of bytes that the node may use.
func (c *NodeConfig) MemoryBytes() int {
	if c.Limits.MemoryMB == 0 {
		return defaultMemoryBytes
	}
	return int(c.Limits.MemoryMB * (1 << 20))
}
