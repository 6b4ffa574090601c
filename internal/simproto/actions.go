package simproto

import (
	"fmt"
	"time"

	"sandcourse/internal/routing"
)

// Action is an action in the form in which the simulator reads it.
type Action struct {
	Type         string  `json:"t"`
	Node         string  `json:"i"`
	RequestID    *int64  `json:"call,omitempty"`
	Engine       string  `json:"engine,omitempty"`
	TimeoutUs    int64   `json:"try_for_us,omitempty"`
	RetryAfterUs int64   `json:"come_back_us,omitempty"`
	Attempt      *int    `json:"seq_no,omitempty"`
	TimerToken   *int64  `json:"ctx,omitempty"`
	AfterUs      *int64  `json:"in_us,omitempty"`
	Peer         *int    `json:"dest,omitempty"` // number of the peer; omitted for all peers
	Content      string  `json:"content,omitempty"`
	Want         *bool   `json:"want,omitempty"`
	Reason       *string `json:"body_text,omitempty"`
}

// NodeFailed returns the action that reports a panic of a node's policy.
func NodeFailed(node, reason string) Action { return Action{Type: "die", Node: node, Reason: &reason} }

// Encode converts an action of a node's policy to the simulator's form.
func Encode(node string, action routing.Action) Action {
	switch a := action.(type) {
	case routing.Send:
		return Action{Type: "transmit", Node: node, RequestID: &a.RequestID, Engine: a.Engine,
			TimeoutUs: toMicroseconds(a.Timeout)}
	case routing.Shed:
		return Action{Type: "refuse", Node: node, RequestID: &a.RequestID, RetryAfterUs: toMicroseconds(a.RetryAfter)}
	case routing.Fail:
		return Action{Type: "surrender", Node: node, RequestID: &a.RequestID}
	case routing.CancelAttempt:
		return Action{Type: "recall", Node: node, RequestID: &a.RequestID, Attempt: &a.Attempt}
	case routing.Release:
		return Action{Type: "discard", Node: node, RequestID: &a.RequestID}
	case routing.StartTimer:
		after := toMicroseconds(a.After)
		return Action{Type: "arm", Node: node, TimerToken: &a.Token, AfterUs: &after}
	case routing.MigrateStream:
		return Action{Type: "shift", Node: node, RequestID: &a.RequestID}
	case routing.HealthCheck:
		return Action{Type: "check", Node: node, Engine: a.Engine}
	case routing.SendGossip:
		gossip := Action{Type: "tell", Node: node, Content: a.Text}
		if a.To != routing.AllNodes {
			gossip.Peer = &a.To
		}
		return gossip
	case routing.WatchEndpoints:
		want := true
		return Action{Type: "subscribe", Node: node, Want: &want}
	}
	panic(fmt.Sprintf("simproto: no action for %T", action))
}

// toMicroseconds converts a duration to microseconds, rounded up so that no timer fires early.
func toMicroseconds(d time.Duration) int64 {
	return int64((d + time.Microsecond - 1) / time.Microsecond)
}
