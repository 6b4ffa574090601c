// Package simproto decodes the simulator's batches of events and encodes the actions of routing policies. The package only maps
// fields and converts units; it does no I/O.
package simproto

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"sandcourse/internal/config/params"
	"sandcourse/internal/routing"
)

// Errors for an invalid batch.
var (
	ErrNotABatch    = errors.New("not a batch")
	ErrMissing      = errors.New("is missing")
	ErrWrongType    = errors.New("has a wrong type")
	ErrUnknownValue = errors.New("has an unknown value")
)

// FieldError is the error of an invalid field of an event.
type FieldError struct {
	Event, Field string
	Err          error // cause, which wraps ErrMissing, ErrWrongType or ErrUnknownValue
}

// Error returns a text that names the event and the field, with the error of the field.
func (e *FieldError) Error() string { return fmt.Sprintf("%s: field %s %v", e.Event, e.Field, e.Err) }

// Unwrap returns the error of the field.
func (e *FieldError) Unwrap() error { return e.Err }

// Event is one event of a batch. Exactly one of Payload, Create, Down and Unknown is set.
type Event struct {
	Node    string
	Payload routing.Event
	Create  *NodeCreated
	Down    bool
	Unknown string // type of an unknown event
}

// NodeCreated contains the seed and the configuration of a new node.
type NodeCreated struct {
	Seed   uint64
	Config routing.Config
}

type eventHeader struct {
	Type *string `json:"t"`
	Node *string `json:"i"`
}

// rawEvent contains the fields of all types of event.
type rawEvent struct {
	RandomSeed      uint64             `json:"random_seed"`
	Params          map[string]any     `json:"params"`
	UpdateKind      int                `json:"form"`
	Endpoints       []rawEndpoint      `json:"nodes_list"`
	RequestID       int64              `json:"call"`
	Route           int                `json:"qos"`
	Session         string             `json:"session"`
	DeadlineUs      int64              `json:"give_up_at_us"`
	Prefix          string             `json:"prefix"`
	PromptTokens    float64            `json:"input_len"`
	PrefixTokens    float64            `json:"prefix_len"`
	MaxOutputTokens float64            `json:"n_max"`
	Flags           int64              `json:"bitmap"`
	Attempt         int                `json:"seq_no"`
	Engine          string             `json:"engine"`
	Verdict         string             `json:"verdict"`
	LatencyUs       int64              `json:"lag_us"`
	RequestEnded    bool               `json:"ended"`
	Note            float64            `json:"note"`
	LoadReport      map[string]float64 `json:"telemetry"`
	Sender          int                `json:"author"`
	Content         string             `json:"content"`
	TimerToken      int64              `json:"ctx"`
	Reservation     int                `json:"what"`
}

type rawEndpoint struct {
	Weight      float64 `json:"power_hint"`
	Zone        int     `json:"site"`
	Kind        int     `json:"sku"`
	StartedAtUs int64   `json:"up_since_us"`
	Cell        int     `json:"cohort"`
	State       int     `json:"lifecycle"`
	Engine      string  `json:"engine"`
}

// The simulator's numeric codes for the kind of an endpoint update, the state of an endpoint, the result of a reservation,
// the flags of a request and the note of a lost reservation.
const (
	updateSnapshot = 1
	updateReplaced = 2
	updateFailed   = 3

	stateReady    = 1
	stateDraining = 2

	reservationGranted = 1

	flagClientRetry = 1 << 1
	flagResumed     = 1 << 4

	noteReservationLost = 1
)

var verdicts = map[string]routing.Verdict{
	"S": routing.Completed, "E": routing.EngineError, "F": routing.Full, "T": routing.TimedOut, "C": routing.NotConnected,
	"R": routing.ConnectionLost, "X": routing.Canceled, "N": routing.NotSent, "READ": routing.PrefillDone,
}

// eventTypes maps the type of each known event to its required fields and to the function that sets the fields of its Event.
var eventTypes = map[string]struct {
	required []string
	set      func(*Event, *rawEvent, routing.Verdict)
}{
	"create":      {[]string{"random_seed", "params"}, setCreated},
	"down":        {nil, func(event *Event, _ *rawEvent, _ routing.Verdict) { event.Down = true }},
	"endpoints":   {[]string{"form"}, setEndpoints},
	"req":         {[]string{"call", "give_up_at_us"}, setRequest},
	"expired":     {[]string{"call"}, setDisconnected},
	"response":    {[]string{"call", "engine", "verdict"}, setOutcome},
	"flowing":     {[]string{"call", "engine"}, setFirstToken},
	"ring":        {[]string{"ctx"}, setTimer},
	"ping_result": {[]string{"engine", "verdict"}, setHealthCheck},
	"peer_data":   {[]string{"content"}, setGossip},
	"reserved":    {[]string{"call", "engine", "what"}, setReservation},
}

// Decode decodes one batch. Its errors name the event and the invalid field.
func Decode(line []byte) (now time.Duration, events []Event, err error) {
	var batch struct {
		NowUs *int64             `json:"wall_us"`
		Inbox *[]json.RawMessage `json:"inbox"`
	}
	if err := json.Unmarshal(line, &batch); err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrNotABatch, err)
	}
	if batch.NowUs == nil || batch.Inbox == nil {
		return 0, nil, fmt.Errorf("%w: wall_us or inbox %w", ErrNotABatch, ErrMissing)
	}
	events = make([]Event, 0, len(*batch.Inbox))
	for i, raw := range *batch.Inbox {
		event, err := decodeEvent(raw)
		if err != nil {
			return 0, nil, fmt.Errorf("event %d: %w", i, err)
		}
		events = append(events, event)
	}
	return fromMicroseconds(*batch.NowUs), events, nil
}

func decodeEvent(data json.RawMessage) (Event, error) {
	var header eventHeader
	if err := json.Unmarshal(data, &header); err != nil {
		return Event{}, err
	}
	if header.Type == nil || header.Node == nil {
		return Event{}, fmt.Errorf("field t or i %w", ErrMissing)
	}
	event := Event{Node: *header.Node}
	eventType, known := eventTypes[*header.Type]
	if !known {
		event.Unknown = *header.Type
		return event, nil
	}
	for _, name := range eventType.required {
		if !bytes.Contains(data, []byte(`"`+name+`"`)) {
			return Event{}, &FieldError{*header.Type, name, ErrMissing}
		}
	}
	var raw rawEvent
	if err := json.Unmarshal(data, &raw); err != nil {
		if typeError, ok := errors.AsType[*json.UnmarshalTypeError](err); ok {
			return Event{}, &FieldError{*header.Type, typeError.Field, fmt.Errorf("%w: %w", ErrWrongType, err)}
		}
		return Event{}, fmt.Errorf("%s: %w", *header.Type, err)
	}
	verdict, known := verdicts[raw.Verdict]
	if raw.Verdict != "" && !known {
		return Event{}, &FieldError{*header.Type, "verdict", fmt.Errorf("%w %q", ErrUnknownValue, raw.Verdict)}
	}
	eventType.set(&event, &raw, verdict)
	return event, nil
}

func setCreated(event *Event, raw *rawEvent, _ routing.Verdict) {
	event.Create = &NodeCreated{Seed: raw.RandomSeed, Config: params.Flatten(raw.Params).RoutingConfig()}
}

func setEndpoints(event *Event, raw *rawEvent, _ routing.Verdict) {
	update := routing.EndpointUpdate{Failed: raw.UpdateKind == updateFailed,
		Complete: raw.UpdateKind == updateSnapshot || raw.UpdateKind == updateReplaced}
	for _, e := range raw.Endpoints {
		update.Engines = append(update.Engines, routing.Endpoint{Engine: e.Engine, Weight: e.Weight, Zone: e.Zone,
			Cell: e.Cell, Kind: e.Kind, StartedAt: fromMicroseconds(e.StartedAtUs), Ready: e.State == stateReady,
			Draining: e.State == stateDraining, Removed: e.State != stateReady && e.State != stateDraining})
	}
	event.Payload = update
}

func setRequest(event *Event, raw *rawEvent, _ routing.Verdict) {
	event.Payload = routing.RequestArrived{RequestID: raw.RequestID, Route: raw.Route, Session: raw.Session,
		Prefix: raw.Prefix, Deadline: fromMicroseconds(raw.DeadlineUs), PromptTokens: raw.PromptTokens,
		PrefixTokens: raw.PrefixTokens, MaxOutputTokens: raw.MaxOutputTokens,
		ClientRetry: raw.Flags&flagClientRetry != 0, Resumed: raw.Flags&flagResumed != 0}
}

func setDisconnected(event *Event, raw *rawEvent, _ routing.Verdict) {
	event.Payload = routing.ClientDisconnected{RequestID: raw.RequestID}
}

func setOutcome(event *Event, raw *rawEvent, verdict routing.Verdict) {
	event.Payload = routing.Outcome{RequestID: raw.RequestID, Attempt: raw.Attempt, Engine: raw.Engine, Verdict: verdict,
		Latency: fromMicroseconds(raw.LatencyUs), RequestEnded: raw.RequestEnded, CachedTokens: raw.Note,
		ReservationLost: verdict == routing.Full && raw.Note == noteReservationLost,
		Report:          params.LoadReport(raw.LoadReport)}
}

func setFirstToken(event *Event, raw *rawEvent, _ routing.Verdict) {
	event.Payload = routing.FirstToken{RequestID: raw.RequestID, Attempt: raw.Attempt, Engine: raw.Engine,
		Latency: fromMicroseconds(raw.LatencyUs)}
}

func setTimer(event *Event, raw *rawEvent, _ routing.Verdict) {
	event.Payload = routing.TimerFired{Token: raw.TimerToken}
}

func setHealthCheck(event *Event, raw *rawEvent, verdict routing.Verdict) {
	event.Payload = routing.HealthCheckResult{Engine: raw.Engine, Verdict: verdict,
		Latency: fromMicroseconds(raw.LatencyUs), Report: params.LoadReport(raw.LoadReport)}
}

func setGossip(event *Event, raw *rawEvent, _ routing.Verdict) {
	event.Payload = routing.GossipReceived{From: raw.Sender, Text: raw.Content}
}

func setReservation(event *Event, raw *rawEvent, _ routing.Verdict) {
	event.Payload = routing.ReservationResult{RequestID: raw.RequestID, Attempt: raw.Attempt, Engine: raw.Engine,
		Reserved: raw.Reservation == reservationGranted}
}

func fromMicroseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
