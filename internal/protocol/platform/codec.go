// Package platform is the codec of the operators' platform: what clients and engines send there, and how a node is
// configured. It does no I/O.
package platform

import "sandcourse/internal/protocol"

// Paths of the protocol.
const (
	CompletionsPath  = "/v1/chat/completions"
	HealthPath       = "/_health" // of the node
	LoadReportPath   = "/_load"
	PingPath         = "/ping"
	ReservationsPath = "/v1/holds/"
)

// Headers of the protocol.
const (
	HeaderRequestID    = "Request-Id"
	HeaderRequestClass = "Request-Class"
	HeaderAffinityKey  = "Affinity-Key"
	HeaderTimeout      = "Request-Timeout"
	HeaderRequestInfo  = "Request-Info"
	HeaderClientRetry  = "Client-Retry"
	HeaderLoadReport   = "Server-Load"
	HeaderNotStarted   = "Not-Started"
)

// Codec implements protocol.Codec.
type Codec struct {
	reportFields []string // that a load report has to have; none where there are no reports
}

var _ protocol.Codec = (*Codec)(nil)

// NewCodec makes the codec of a deployment whose load reports have these fields.
func NewCodec(reportFields []string) *Codec { return &Codec{reportFields} }
