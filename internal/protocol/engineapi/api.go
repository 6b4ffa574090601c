// Package engineapi implements the protocol towards engines: it encodes prefill and decode requests, health checks and
// releases, and decodes the responses. It does no I/O. docs/engine-protocol.md describes which part is the published form of
// prefill/decode disaggregation and which part is an extension of this project.
package engineapi

// Paths and headers of the protocol. Names that begin with X-Sandcourse or /sandcourse are extensions.
const (
	ChatPath    = "/v1/chat/completions"
	LoadPath    = "/sandcourse/load"
	ReleasePath = "/sandcourse/release"

	HeaderRejected      = "X-Sandcourse-Refused" // reason why an engine did not start an attempt
	HeaderMemoryShare   = "X-Sandcourse-Memory"  // share of KV memory in use, 0 to 1
	HeaderWaitingTokens = "X-Sandcourse-Waiting" // thousands of prompt tokens waiting for prefill or transfer
	HeaderOpenRequests  = "X-Sandcourse-Open"    // number of requests in flight
	HeaderAttempt       = "X-Sandcourse-Send"    // attempt index of a prefill; the request ID and this index identify the reservation
	HeaderRoleEpoch     = "X-Sandcourse-Epoch"   // epoch of the engine's role that the router expects
)

// The values of HeaderRejected.
const (
	RejectedFull          = "full"
	RejectedDraining      = "draining"
	RejectedNoReservation = "no-state"
	RejectedRoleEpoch     = "epoch" // the engine's role has another epoch, or the engine is loading for the next epoch
	RejectedRole          = "role"  // the engine has another role, and either no epochs or the expected epoch
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
