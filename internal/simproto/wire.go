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
	Input   routing.Input
	Create  *Create
	Down    bool
	Unknown string
}

// Create starts a node.
type Create struct {
	Seed  uint64
	Facts map[string]any
}

type eventHead struct {
	T *string `json:"t"`
	I *string `json:"i"`
}

type rawEvent struct {
	RandomSeed uint64             `json:"random_seed"`
	Params     map[string]any     `json:"params"`
	Form       int                `json:"form"`
	Nodes      []rawEntry         `json:"nodes_list"`
	Call       int64              `json:"call"`
	Qos        int                `json:"qos"`
	Session    string             `json:"session"`
	GiveUpAt   int64              `json:"give_up_at_us"`
	Prefix     string             `json:"prefix"`
	InputLen   float64            `json:"input_len"`
	PrefixLen  float64            `json:"prefix_len"`
	NMax       float64            `json:"n_max"`
	Bitmap     int64              `json:"bitmap"`
	SeqNo      int                `json:"seq_no"`
	Engine     string             `json:"engine"`
	Verdict    string             `json:"verdict"`
	Lag        int64              `json:"lag_us"`
	Ended      bool               `json:"ended"`
	Note       float64            `json:"note"`
	Telemetry  map[string]float64 `json:"telemetry"`
	Author     int                `json:"author"`
	Content    string             `json:"content"`
	Ctx        int64              `json:"ctx"`
	What       int                `json:"what"`
}

type rawEntry struct {
	Power     float64 `json:"power_hint"`
	Site      int     `json:"site"`
	Sku       int     `json:"sku"`
	UpSince   int64   `json:"up_since_us"`
	Cohort    int     `json:"cohort"`
	Lifecycle int     `json:"lifecycle"`
	Engine    string  `json:"engine"`
}

var verdicts = map[string]routing.Verdict{
	"S": routing.Completed, "E": routing.EngineError, "F": routing.Full, "T": routing.TimedOut, "C": routing.NotConnected,
	"R": routing.ConnectionLost, "X": routing.Withdrawn, "N": routing.NotSent, "READ": routing.ReadDone,
}

// needed names the fields without which an event makes no sense.
var needed = map[string][]string{
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
	var head eventHead
	if err := json.Unmarshal(raw, &head); err != nil {
		return Event{}, err
	}
	if head.T == nil || head.I == nil {
		return Event{}, errors.New("field t or i is missing")
	}
	fields, known := needed[*head.T]
	if !known {
		return Event{Node: *head.I, Unknown: *head.T}, nil
	}
	for _, name := range fields {
		if !bytes.Contains(raw, []byte(`"`+name+`"`)) {
			return Event{}, fmt.Errorf("%s: field %s is missing", *head.T, name)
		}
	}
	var r rawEvent
	if err := json.Unmarshal(raw, &r); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return Event{}, fmt.Errorf("%s: field %s has a wrong type: %w", *head.T, wrong.Field, err)
		}
		return Event{}, fmt.Errorf("%s: %w", *head.T, err)
	}
	ev := Event{Node: *head.I}
	verdict, ok := verdicts[r.Verdict]
	if r.Verdict != "" && !ok {
		return Event{}, fmt.Errorf("%s: field verdict has an unknown value %q", *head.T, r.Verdict)
	}
	switch *head.T {
	case "create":
		ev.Create = &Create{Seed: r.RandomSeed, Facts: params.Of(r.Params)}
	case "down":
		ev.Down = true
	case "endpoints":
		news := routing.EngineNews{Whole: r.Form == 1 || r.Form == 2, Failed: r.Form == 3}
		for _, n := range r.Nodes {
			news.Engines = append(news.Engines, routing.EngineEntry{Engine: n.Engine, Weight: n.Power, Zone: n.Site,
				Cell: n.Cohort, Kind: n.Sku, UpSince: n.UpSince * 1000,
				Ready: n.Lifecycle == 1, Drains: n.Lifecycle == 2, Out: n.Lifecycle != 1 && n.Lifecycle != 2})
		}
		ev.Input = news
	case "req":
		ev.Input = routing.Arrival{Inf: r.Call, Route: r.Qos, Session: r.Session, Prefix: r.Prefix,
			GiveUpAt: r.GiveUpAt * 1000, Prompt: r.InputLen, PrefixTokens: r.PrefixLen, MaxAnswer: r.NMax,
			Repeat: r.Bitmap&2 != 0, Resumed: r.Bitmap&16 != 0}
	case "expired":
		ev.Input = routing.ClientGone{Inf: r.Call}
	case "response":
		ev.Input = routing.Outcome{Inf: r.Call, Send: r.SeqNo, Engine: r.Engine, Verdict: verdict,
			Lag: r.Lag * 1000, Ended: r.Ended, Note: r.Note, Report: params.Report(r.Telemetry)}
	case "flowing":
		ev.Input = routing.FirstToken{Inf: r.Call, Send: r.SeqNo, Engine: r.Engine, Lag: r.Lag * 1000}
	case "ring":
		ev.Input = routing.TimerDue{Token: r.Ctx}
	case "ping_result":
		ev.Input = routing.ProbeResult{Engine: r.Engine, Verdict: verdict, Lag: r.Lag * 1000, Report: params.Report(r.Telemetry)}
	case "peer_data":
		ev.Input = routing.PeerMessage{From: r.Author, Text: r.Content}
	case "reserved":
		ev.Input = routing.PlaceNews{Inf: r.Call, Send: r.SeqNo, Engine: r.Engine, Held: r.What == 1}
	}
	return ev, nil
}

// Action is one action of a reply.
type Action struct {
	T        string  `json:"t"`
	I        string  `json:"i"`
	Call     *int64  `json:"call,omitempty"`
	Engine   string  `json:"engine,omitempty"`
	TryFor   int64   `json:"try_for_us,omitempty"`
	ComeBack int64   `json:"come_back_us,omitempty"`
	SeqNo    *int    `json:"seq_no,omitempty"`
	Ctx      *int64  `json:"ctx,omitempty"`
	In       *int64  `json:"in_us,omitempty"`
	Dest     *int    `json:"dest,omitempty"`
	Content  string  `json:"content,omitempty"`
	Want     *bool   `json:"want,omitempty"`
	Body     *string `json:"body_text,omitempty"`
}

// Die says that a node's decisions have failed.
func Die(node, why string) Action { return Action{T: "die", I: node, Body: &why} }

// Encode turns an effect of a node into an action.
func Encode(node string, effect routing.Effect) Action {
	switch e := effect.(type) {
	case routing.Send:
		return Action{T: "transmit", I: node, Call: &e.Inf, Engine: e.Engine, TryFor: micros(e.Patience)}
	case routing.Shed:
		return Action{T: "refuse", I: node, Call: &e.Inf, ComeBack: micros(e.ComeBack)}
	case routing.Fail:
		return Action{T: "surrender", I: node, Call: &e.Inf}
	case routing.Withdraw:
		return Action{T: "recall", I: node, Call: &e.Inf, SeqNo: &e.Send}
	case routing.Discard:
		return Action{T: "discard", I: node, Call: &e.Inf}
	case routing.ArmTimer:
		in := micros(e.In)
		return Action{T: "arm", I: node, Ctx: &e.Token, In: &in}
	case routing.Move:
		return Action{T: "shift", I: node, Call: &e.Inf}
	case routing.Probe:
		return Action{T: "check", I: node, Engine: e.Engine}
	case routing.Tell:
		a := Action{T: "tell", I: node, Content: e.Text}
		if e.To >= 0 {
			a.Dest = &e.To
		}
		return a
	case routing.Watch:
		want := true
		return Action{T: "subscribe", I: node, Want: &want}
	}
	panic(fmt.Sprintf("simwire: no action for %T", effect))
}

// micros rounds up, so that no timer comes early.
func micros(ns int64) int64 { return (ns + 999) / 1000 }
