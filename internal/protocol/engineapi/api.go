// Package engineapi is the protocol to engines: prefill and decode requests, health checks and releases, and how the
// responses are read. It does no I/O. docs/engine-protocol.md says which part is the publicly known form of prefill/decode
// disaggregation and which is this project's extension.
package engineapi

// Paths and headers. Those that begin with X-Sandcourse or /sandcourse are extensions.
const (
	ChatPath    = "/v1/chat/completions"
	LoadPath    = "/sandcourse/load"
	ReleasePath = "/sandcourse/release"

	HeaderRejected      = "X-Sandcourse-Refused" // the reason why an engine did not start an attempt
	HeaderMemoryShare   = "X-Sandcourse-Memory"  // share of KV memory in use, 0 to 1
	HeaderWaitingTokens = "X-Sandcourse-Waiting" // thousands of prompt tokens that wait for prefill or transfer
	HeaderOpenRequests  = "X-Sandcourse-Open"    // number of requests in flight
	HeaderAttempt       = "X-Sandcourse-Send"    // attempt index of a prefill; its reservation is known by request and attempt
	HeaderRoleEpoch     = "X-Sandcourse-Epoch"   // of the engine's role, as the router knows it
)

// The values of HeaderRejected.
const (
	RejectedFull          = "full"
	RejectedDraining      = "draining"
	RejectedNoReservation = "no-state"
	RejectedRoleEpoch     = "epoch" // the engine's role has another epoch by now, or the engine loads for the next one
	RejectedRole          = "role"  // the engine has no epochs, or the same, and another role
)

// KVTransfer is kv_transfer_params: it identifies the KV state that a decode engine fetches from a prefill engine.
type KVTransfer struct {
	RemoteDecode  bool   `json:"do_remote_decode"`
	RemotePrefill bool   `json:"do_remote_prefill"`
	Engine        string `json:"remote_engine_id,omitempty"`
	Host          string `json:"remote_host,omitempty"`
	Port          int    `json:"remote_port,omitempty"`
	Blocks        []int  `json:"remote_block_ids,omitempty"`
}
