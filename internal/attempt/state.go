package attempt

// State is the progress of an attempt.
type State uint8

// The states of an attempt.
const (
	Dialing          State = iota // the attempt has no connection yet
	Writing                       // the kernel has not taken all bytes of the request yet
	AwaitingResponse              // all bytes are written, nothing has been received
	Responding                    // a success status has been received, neither a token nor a prefill result yet
	Streaming                     // the first token has been received
	Ended                         // the attempt has its final outcome
)

var stateNames = [...]string{
	Dialing:          "dialing",
	Writing:          "writing",
	AwaitingResponse: "awaiting response",
	Responding:       "responding",
	Streaming:        "streaming",
	Ended:            "ended",
}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

// Event is an input of an attempt's state machine.
type Event uint8

// The events of an attempt.
const (
	Connected           Event = iota // the attempt has a connection, and its first byte is about to be written
	ConnectFailed                    // no connection could be opened in time, or opening one is not allowed
	EngineUnavailable                // the engine began to drain or was removed too long ago to be sent an attempt
	RequestWritten                   // the kernel has taken the last byte of the request
	Rejected                         // the engine rejects the request: slots and queue full, draining, or outdated epoch
	ReservationNotFound              // the engine reports that there is no reservation to fetch
	ErrorStatus                      // any other error status, which does not prove that the attempt has not run
	MalformedResponse                // an invalid response: a bad status line, a second header or a bad frame
	SuccessStatus                    // a success status
	PrefillCompleted                 // the complete response of a prefill engine, which names the reservation
	TokenReceived                    // a token
	DecodeCompleted                  // the last event of a decode engine's stream
	ConnectionReset                  // the connection broke, or the other side closed it
	StreamStalled                    // no token for too long; before the first token, the routing policy's timers apply
	Canceled                         // the routing policy canceled the attempt
)

var eventNames = [...]string{
	Connected:           "connected",
	ConnectFailed:       "connect failed",
	EngineUnavailable:   "engine unavailable",
	RequestWritten:      "request written",
	Rejected:            "rejected",
	ReservationNotFound: "reservation not found",
	ErrorStatus:         "error status",
	MalformedResponse:   "malformed response",
	SuccessStatus:       "success status",
	PrefillCompleted:    "prefill completed",
	TokenReceived:       "token received",
	DecodeCompleted:     "decode completed",
	ConnectionReset:     "connection reset",
	StreamStalled:       "stream stalled",
	Canceled:            "canceled",
}

// String returns the event's name.
func (e Event) String() string { return eventNames[e] }

// ConnectionDisposition states whether the connection of an attempt can be used after an event.
type ConnectionDisposition uint8

// The dispositions.
const (
	InUse     ConnectionDisposition = iota // the connection still carries this attempt
	Reusable                               // the connection may carry another attempt
	MustClose                              // the connection must not be used again: unread bytes may follow
)

var dispositionNames = [...]string{InUse: "in use", Reusable: "reusable", MustClose: "must close"}

// String returns the disposition's name.
func (d ConnectionDisposition) String() string { return dispositionNames[d] }
