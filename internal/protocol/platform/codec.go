// Package platform implements the codec of the operators' platform: the messages of its clients and engines, and the
// configuration of a node. The package does no I/O.
package platform

import "sandcourse/internal/protocol"

// Paths of the protocol.
const (
	CompletionsPath  = "/v1/chat/completions"
	HealthPath       = "/_health" // health check of the node
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
	reportFields []string // required fields of a load report; empty if engines send no load reports
}

var _ protocol.Codec = (*Codec)(nil)

// NewCodec returns the codec of a deployment whose load reports have the given fields.
func NewCodec(reportFields []string) *Codec { return &Codec{reportFields} }
