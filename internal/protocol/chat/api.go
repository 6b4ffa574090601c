// Package chat implements the chat API towards clients: requests, responses, streamed events, errors, and the headers with
// information for a router. It does no I/O.
package chat

// The headers of the API; docs/chat-api.md describes them.
const (
	HeaderSession           = "X-Conversation-Id"
	HeaderIdempotencyKey    = "Idempotency-Key"
	HeaderFirstTokenTimeout = "X-Give-Up-Ms"
	HeaderClientRequestID   = "X-Request-Id"
	// HeaderRetryCount counts a client's retries of one request, as the published OpenAI client libraries send it.
	HeaderRetryCount = "X-Stainless-Retry-Count"
	// HeaderRequestID is the router's ID of the request, which is unique over nodes and their restarts. Every final response
	// and every request to an engine has it.
	HeaderRequestID = "X-Sandcourse-Inference"
	// HeaderOutcome is the outcome of a request. Every complete response has it.
	HeaderOutcome = "X-Sandcourse-Final"
)

// The values of HeaderOutcome.
const (
	OutcomeCompleted = "completed"
	OutcomeShed      = "shed"    // no part of the request has run, so a retry is safe
	OutcomeErrored   = "errored" // the request may have run
)
