package attempt

// State is how far an attempt has got.
type State uint8

// The states of an attempt.
const (
	Dialing          State = iota // it has no connection yet
	Writing                       // the kernel has not taken all bytes of the request yet
	AwaitingResponse              // all bytes are written, nothing has been received
	Responding                    // a success status has been received, neither a token nor a prefill result yet
	Streaming                     // the first token has been received
	Ended                         // it has its outcome, which no later event changes
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

// Event is what happens to an attempt.
type Event uint8

// The events of an attempt.
const (
	Connected           Event = iota // it has a connection, and its first byte is about to be written
	ConnectFailed                    // no connection could be opened in time, or none may be opened
	EngineUnavailable                // its engine has been draining or removed for longer than attempts may still be sent to it
	RequestWritten                   // the kernel has taken the last byte of the request
	Rejected                         // the engine rejects it: slots and queue are full, it drains, or the epoch is outdated
	ReservationNotFound              // the engine reports that there is no reservation to fetch
	ErrorStatus                      // an error status that proves nothing else
	MalformedResponse                // not a valid response: a bad status line, a second header, a bad frame
	SuccessStatus                    // a success status
	PrefillCompleted                 // the complete response of a prefill engine, which names the reservation
	TokenReceived                    // a token
	DecodeCompleted                  // the last event of a decode engine's stream
	ConnectionReset                  // the connection broke, or the other side closed it
	StreamStalled                    // no token for too long; before the first token the timers of the routing policy apply
	Canceled                         // the routing policy canceled it
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

// ConnectionDisposition is what becomes of an attempt's connection after an event.
type ConnectionDisposition uint8

// The dispositions.
const (
	InUse     ConnectionDisposition = iota // it still carries this attempt
	Reusable                               // it may carry another attempt
	MustClose                              // it must not be used again: unread bytes may follow
)

var dispositionNames = [...]string{InUse: "in use", Reusable: "reusable", MustClose: "must close"}

// String returns the disposition's name.
func (d ConnectionDisposition) String() string { return dispositionNames[d] }
