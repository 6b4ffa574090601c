// Package simwire reads and writes the simulator's lines. It renames and converts units, and decides nothing.
package simproto

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"sandcourse/internal/config/params"
	"sandcourse/internal/routing"
)

// Event is one event of a batch. Exactly one of Input, Create and Down is set; an unknown event sets Unknown.
type Event struct {
	Node    string
	Payload routing.Event
	Create  *NodeCreated
	Down    bool
	Unknown string
}

// NodeCreated starts a node.
type NodeCreated struct {
	Seed   uint64
	Config routing.Config
}

type eventHeader struct {
	Type *string `json:"t"`
	Node *string `json:"i"`
}

type rawEvent struct {
	RandomSeed      uint64             `json:"random_seed"`
	Params          map[string]any     `json:"params"`
	UpdateKind      int                `json:"form"`
	Endpoints       []rawEndpoint      `json:"nodes_list"`
	RequestID       int64              `json:"call"`
	Route           int                `json:"qos"`
	Session         string             `json:"session"`
	Deadline        int64              `json:"give_up_at_us"`
	Prefix          string             `json:"prefix"`
	PromptTokens    float64            `json:"input_len"`
	PrefixTokens    float64            `json:"prefix_len"`
	MaxOutputTokens float64            `json:"n_max"`
	Flags           int64              `json:"bitmap"`
	Attempt         int                `json:"seq_no"`
	Engine          string             `json:"engine"`
	Verdict         string             `json:"verdict"`
	Latency         int64              `json:"lag_us"`
	Ended           bool               `json:"ended"`
	Note            float64            `json:"note"`
	LoadReport      map[string]float64 `json:"telemetry"`
	Sender          int                `json:"author"`
	Content         string             `json:"content"`
	TimerToken      int64              `json:"ctx"`
	Reservation     int                `json:"what"`
}

type rawEndpoint struct {
	Weight    float64 `json:"power_hint"`
	Zone      int     `json:"site"`
	Kind      int     `json:"sku"`
	StartedAt int64   `json:"up_since_us"`
	Cell      int     `json:"cohort"`
	State     int     `json:"lifecycle"`
	Engine    string  `json:"engine"`
}

var verdicts = map[string]routing.Verdict{
	"S": routing.Completed, "E": routing.EngineError, "F": routing.Full, "T": routing.TimedOut, "C": routing.NotConnected,
	"R": routing.ConnectionLost, "X": routing.Canceled, "N": routing.NotSent, "READ": routing.PrefillDone,
}

// requiredFields names the fields without which an event makes no sense.
var requiredFields = map[string][]string{
	"create": {"random_seed", "params"}, "endpoints": {"form"}, "req": {"call", "give_up_at_us"},
	"down": nil, "expired": {"call"}, "response": {"call", "engine", "verdict"}, "peer_data": {"content"},
	"flowing": {"call", "engine"}, "ring": {"ctx"}, "ping_result": {"engine", "verdict"},
	"reserved": {"call", "engine", "what"},
}

// Decode reads one line. Its errors name the event and the field that is wrong.
func Decode(line []byte) (now int64, events []Event, err error) {
	var batch struct {
		Now   *int64             `json:"wall_us"`
		Inbox *[]json.RawMessage `json:"inbox"`
	}
	if err := json.Unmarshal(line, &batch); err != nil {
		return 0, nil, fmt.Errorf("not a batch: %w", err)
	}
	if batch.Now == nil || batch.Inbox == nil {
		return 0, nil, errors.New("not a batch: wall_us or inbox is missing")
	}
	events = make([]Event, 0, len(*batch.Inbox))
	for i, raw := range *batch.Inbox {
		ev, err := decodeEvent(raw)
		if err != nil {
			return 0, nil, fmt.Errorf("event %d: %w", i, err)
		}
		events = append(events, ev)
	}
	return *batch.Now * 1000, events, nil
}

func decodeEvent(raw json.RawMessage) (Event, error) {
	var header eventHeader
	if err := json.Unmarshal(raw, &header); err != nil {
		return Event{}, err
	}
	if header.Type == nil || header.Node == nil {
		return Event{}, errors.New("field t or i is missing")
	}
	fields, known := requiredFields[*header.Type]
	if !known {
		return Event{Node: *header.Node, Unknown: *header.Type}, nil
	}
	for _, name := range fields {
		if !bytes.Contains(raw, []byte(`"`+name+`"`)) {
			return Event{}, fmt.Errorf("%s: field %s is missing", *header.Type, name)
		}
	}
	var r rawEvent
	if err := json.Unmarshal(raw, &r); err != nil {
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) {
			return Event{}, fmt.Errorf("%s: field %s has a wrong type: %w", *header.Type, typeError.Field, err)
		}
		return Event{}, fmt.Errorf("%s: %w", *header.Type, err)
	}
	ev := Event{Node: *header.Node}
	verdict, ok := verdicts[r.Verdict]
	if r.Verdict != "" && !ok {
		return Event{}, fmt.Errorf("%s: field verdict has an unknown value %q", *header.Type, r.Verdict)
	}
	switch *header.Type {
	case "create":
		ev.Create = &NodeCreated{Seed: r.RandomSeed, Config: params.Flatten(r.Params).RoutingConfig()}
	case "down":
		ev.Down = true
	case "endpoints":
		news := routing.EndpointUpdate{Complete: r.UpdateKind == 1 || r.UpdateKind == 2, Failed: r.UpdateKind == 3}
		for _, n := range r.Endpoints {
			news.Engines = append(news.Engines, routing.Endpoint{Engine: n.Engine, Weight: n.Weight, Zone: n.Zone,
				Cell: n.Cell, Kind: n.Kind, StartedAt: n.StartedAt * 1000,
				Ready: n.State == 1, Draining: n.State == 2, Removed: n.State != 1 && n.State != 2})
		}
		ev.Payload = news
	case "req":
		ev.Payload = routing.RequestArrived{RequestID: r.RequestID, Route: r.Route, Session: r.Session, Prefix: r.Prefix,
			Deadline: r.Deadline * 1000, PromptTokens: r.PromptTokens, PrefixTokens: r.PrefixTokens, MaxOutputTokens: r.MaxOutputTokens,
			ClientRetry: r.Flags&2 != 0, Resumed: r.Flags&16 != 0}
	case "expired":
		ev.Payload = routing.ClientDisconnected{RequestID: r.RequestID}
	case "response":
		ev.Payload = routing.Outcome{RequestID: r.RequestID, Attempt: r.Attempt, Engine: r.Engine, Verdict: verdict,
			Latency: r.Latency * 1000, RequestEnded: r.Ended, CachedTokens: r.Note, ReservationLost: verdict == routing.Full && r.Note == 1, Report: params.LoadReport(r.LoadReport)}
	case "flowing":
		ev.Payload = routing.FirstToken{RequestID: r.RequestID, Attempt: r.Attempt, Engine: r.Engine, Latency: r.Latency * 1000}
	case "ring":
		ev.Payload = routing.TimerFired{Token: r.TimerToken}
	case "ping_result":
		ev.Payload = routing.HealthCheckResult{Engine: r.Engine, Verdict: verdict, Latency: r.Latency * 1000, Report: params.LoadReport(r.LoadReport)}
	case "peer_data":
		ev.Payload = routing.GossipReceived{From: r.Sender, Text: r.Content}
	case "reserved":
		ev.Payload = routing.ReservationResult{RequestID: r.RequestID, Attempt: r.Attempt, Engine: r.Engine, Reserved: r.Reservation == 1}
	}
	return ev, nil
}

// Action is one action of a reply.
type Action struct {
	Type       string  `json:"t"`
	Node       string  `json:"i"`
	RequestID  *int64  `json:"call,omitempty"`
	Engine     string  `json:"engine,omitempty"`
	Timeout    int64   `json:"try_for_us,omitempty"`
	RetryAfter int64   `json:"come_back_us,omitempty"`
	Attempt    *int    `json:"seq_no,omitempty"`
	TimerToken *int64  `json:"ctx,omitempty"`
	After      *int64  `json:"in_us,omitempty"`
	Peer       *int    `json:"dest,omitempty"`
	Content    string  `json:"content,omitempty"`
	Want       *bool   `json:"want,omitempty"`
	Reason     *string `json:"body_text,omitempty"`
}

// NodeFailed says that a node's decisions have failed.
func NodeFailed(node, reason string) Action { return Action{Type: "die", Node: node, Reason: &reason} }

// Encode turns an effect of a node into an action.
func Encode(node string, action routing.Action) Action {
	switch e := action.(type) {
	case routing.Send:
		return Action{Type: "transmit", Node: node, RequestID: &e.RequestID, Engine: e.Engine, Timeout: micros(e.Timeout)}
	case routing.Shed:
		return Action{Type: "refuse", Node: node, RequestID: &e.RequestID, RetryAfter: micros(e.RetryAfter)}
	case routing.Fail:
		return Action{Type: "surrender", Node: node, RequestID: &e.RequestID}
	case routing.CancelAttempt:
		return Action{Type: "recall", Node: node, RequestID: &e.RequestID, Attempt: &e.Attempt}
	case routing.Release:
		return Action{Type: "discard", Node: node, RequestID: &e.RequestID}
	case routing.StartTimer:
		in := micros(e.After)
		return Action{Type: "arm", Node: node, TimerToken: &e.Token, After: &in}
	case routing.MigrateStream:
		return Action{Type: "shift", Node: node, RequestID: &e.RequestID}
	case routing.HealthCheck:
		return Action{Type: "check", Node: node, Engine: e.Engine}
	case routing.SendGossip:
		a := Action{Type: "tell", Node: node, Content: e.Text}
		if e.To >= 0 {
			a.Peer = &e.To
		}
		return a
	case routing.WatchEndpoints:
		want := true
		return Action{Type: "subscribe", Node: node, Want: &want}
	}
	panic(fmt.Sprintf("simwire: no action for %T", action))
}

// micros rounds up, so that no timer comes early.
func micros(ns int64) int64 { return (ns + 999) / 1000 }
