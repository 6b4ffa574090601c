package platform

import (
	"encoding/json"
	"fmt"
	"strconv"

	"sandcourse/internal/config/params"
	"sandcourse/internal/config/script"
	"sandcourse/internal/netaddr"
)

// MaxConfigBytes bounds a configuration.
const MaxConfigBytes = 16 << 20

const (
	minSockets         = 64
	defaultMemoryBytes = 192 << 20
)

// NodeConfig is the configuration that the platform hands to a node at its start, and again when the node has to reload it.
// Keys match in any case; the tags have the spelling that refusals print.
type NodeConfig struct {
	Name                 string          `json:"Name"`
	ListenAddress        string          `json:"Listen"`
	DiscoveryAddress     string          `json:"Discovery"`
	Seed                 string          `json:"Seed"` // hexadecimal
	Limits               ResourceLimits  `json:"Limits"`
	PeerListenAddress    string          `json:"peer_listen"` // empty for no gossip
	Peers                []string        `json:"Peers"`       // addresses of all nodes, this one too, by their numbers
	PeerBroadcastAddress string          `json:"peers_all"`   // reaches all nodes; empty for none
	CachedEndpoints      json.RawMessage `json:"Known"`       // the snapshot that the node last had of discovery
	Settings             map[string]any  `json:"Settings"`
}

// ResourceLimits are what a node may use; 0 for the default.
type ResourceLimits struct {
	Cores    float64 `json:"Cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"Sockets"`
}

// ParseNodeConfig decodes a configuration and validates all of it. The error, if any, is of type script.Faults.
func ParseNodeConfig(file string, data []byte) (*NodeConfig, error) {
	var c NodeConfig
	var faults script.Faults
	refuse := func(format string, args ...any) {
		faults = append(faults, &script.Fault{File: file, Err: fmt.Errorf(format, args...)})
	}
	if err := json.Unmarshal(data, &c); err != nil {
		refuse("it is no JSON object of the known form: %w", err)
		return nil, faults
	}
	c.checkAddresses(refuse)
	if c.Settings == nil {
		refuse("settings: they are missing; an object is needed")
	}
	if c.Limits.Sockets < minSockets && c.Limits.Sockets != 0 {
		refuse("limits.sockets: %d is under %d, which a node needs", c.Limits.Sockets, minSockets)
	}
	if c.Limits.MemoryMB < 0 || c.Limits.Cores < 0 {
		refuse("limits: memory_mb and cores must not be negative")
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return &c, nil
}

func (c *NodeConfig) checkAddresses(refuse func(format string, args ...any)) {
	check := func(name, address string) {
		if err := netaddr.Check(address); err != nil {
			refuse("%s: %w", name, err)
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

// SeedValue is the seed as a number. A seed that is not hexadecimal counts as the length of its text.
func (c *NodeConfig) SeedValue() uint64 {
	n, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return uint64(len(c.Seed))
	}
	return n
}

// LoadReportFields are the fields of load reports; none where the deployment has no reports.
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

// MemoryBytes is how many bytes the node may use.
func (c *NodeConfig) MemoryBytes() int {
	if c.Limits.MemoryMB == 0 {
		return defaultMemoryBytes
	}
	return int(c.Limits.MemoryMB * (1 << 20))
}
