// Package chat is the chat API as clients know it: requests, responses, streamed events, errors, and the headers that carry
// what a router needs to know. It does no I/O.
package chat

// The headers of the API; docs/chat-api.md describes them.
const (
	HeaderSession           = "X-Conversation-Id"
	HeaderIdempotencyKey    = "Idempotency-Key"
	HeaderFirstTokenTimeout = "X-Give-Up-Ms"
	HeaderClientRequestID   = "X-Request-Id"
	// HeaderRetryCount counts a client's retries of one request, as the published OpenAI client libraries send it.
	HeaderRetryCount = "X-Stainless-Retry-Count"
	// HeaderRequestID is in every final response and in requests to engines: the router's ID of the request, unique over
	// nodes and their restarts.
	HeaderRequestID = "X-Sandcourse-Inference"
	// HeaderOutcome is the outcome of a request, in every complete response.
	HeaderOutcome = "X-Sandcourse-Final"
)

// The values of HeaderOutcome.
const (
	OutcomeCompleted = "completed"
	OutcomeShed      = "shed"    // nothing was done, a retry is safe
	OutcomeErrored   = "errored" // it may have run
)
