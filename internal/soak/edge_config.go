package soak

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Durations in edgeConfigFormat that the fake engines and the checks also use.
const (
	connectionIdleTime  = 5 * time.Second
	deduplicationWindow = time.Second
	drainGrace          = 250 * time.Millisecond
	reservationLimit    = time.Second
)

// requestClass is a request class in edgeConfigFormat. The audit records it as the route of a request.
type requestClass string

const (
	classChat  requestClass = "chat"  // requests that are retriable
	classLabel requestClass = "label" // requests that are retriable within the deduplication window of the engines
	classAlert requestClass = "alert" // requests that are non-retriable: they must not be executed twice
)

// edgeConfigFormat is the format string of an edge's configuration in the platform's JSON format.
const edgeConfigFormat = `{"name":"n%d","listen":%q,"discovery":%q,"seed":"%x","limits":{"memory_mb":%d,"sockets":512},"known":%s,
 "peer_listen":%q,"peers":[%s],"settings":{"areas":["a"],"zone":0,"index":%d,"peers_total":%d,"tick_us":4000,"flavors":["read","write"],"ceilings":{
 "try_limit":5,"cancel":true,"probes":true,"peers":true,"retry_after":true,"max_retry_after_us":1000000,"dial_timeout_us":250000,
 "conn_idle_us":5000000},"report":{"how":"inline","fields":["x0","x1"]},"family_info":{"stage_of_kind":["read","write"],
 "pin_limit_us":1000000,"resume":%v,"kind_memory_tokens":[1000000,1000000]},"classes":[
 {"name":"chat","effect":"retryable","worth":1,"objective_us":900000},
 {"name":"label","effect":"dedup","dedup_scope":"all","memory_span_us":1000000,"worth":1,"objective_us":900000},
 {"name":"alert","effect":"fragile","worth":5,"objective_us":900000}],"obligations":{"drain_grace_us":250000}}}`

// writeConfig writes the edge's current configuration file. A truncated configuration lacks the second half, like a file that
// an editor is still writing.
func (p *edgeProcess) writeConfig(truncated bool) error {
	var peers []string
	for _, other := range p.soak.edges {
		peers = append(peers, strconv.Quote(other.peerAddr))
	}
	text := fmt.Sprintf(edgeConfigFormat, p.number, p.addr, p.soak.discovery.agentAddr(p.group), p.incarnation+1,
		edgeMemoryMB, p.soak.discovery.snapshot(p.group), p.peerAddr, strings.Join(peers, ","), p.number, len(p.soak.edges), p.soak.allowsResume())
	if truncated {
		text = text[:len(text)/2]
	}
	return os.WriteFile(p.configPath, []byte(text), 0o600)
}
