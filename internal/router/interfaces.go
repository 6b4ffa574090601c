package router

import "errors"

// Transport is the network interface of a router. Its methods, except CatchUp, must not call back into the router.
type Transport interface {
	// CatchUp is called after each decision of the policy, which may have taken a while, and before the resulting actions are
	// performed. CatchUp may call SetTime, and UpdateEndpoints with lists that arrived in the meantime.
	CatchUp()
	// Dial connects to an engine. Router.EngineConnected is called in a later event.
	Dial(conn *EngineConnection)
	// SendToPeer sends a short text to one router, or to all others if to is negative.
	SendToPeer(to int, text string)
}

// ClientSocket is the socket of a client's connection.
type ClientSocket interface {
	// Send queues data for the client. It returns an error if too much data is queued already.
	Send(data []byte) error
	// Flushed reports whether the kernel has accepted all data that was sent.
	Flushed() bool
	// StopReading drops all further input from the client.
	StopReading()
	// Disconnected reports whether the connection has ended, even if the router was not notified yet.
	Disconnected() bool
	// CloseIfIdle closes the connection unless a request was read, in whole or in part, that is not answered yet. It
	// reports whether the connection is closed.
	CloseIfIdle() bool
	// Close closes the connection immediately.
	Close()
}

// EngineSocket is the socket of a connection to an engine.
type EngineSocket interface {
	// Write sends a request. After an error Router.EngineDisconnected is called in a later event.
	Write(request []byte) error
	// RequestWritten reports whether the kernel has accepted the last byte of the last request.
	RequestWritten() bool
	// ConfirmInput reports whether all input that has arrived on the connection was passed to the router. If some may be
	// unread, Router.EngineInputConfirmed is called in a later event, once what has arrived by now was passed on.
	ConfirmInput() bool
	// EndSending ends the sending direction of the connection, and reports whether the engine's end of it can be awaited.
	EndSending() bool
	// End returns how the connection has ended.
	End() ConnectionEnd
	// Close closes the connection immediately.
	Close()
}

// ConnectionEnd is the way in which a connection to an engine has ended.
type ConnectionEnd uint8

// The ways.
const (
	EndUnknown  ConnectionEnd = iota // by this side, by an error of the network, or the connection is open
	EndReset                         // by a reset, which the engine or the network has sent
	EndedByPeer                      // by an end of file, which only the engine can send
)

// Relay forwards the tokens of a stream from an engine to a client without involving the router, once the router has
// forwarded the earlier ones.
type Relay interface {
	// Forwarded records that the router has forwarded one token. The relay may call flush before it sends to the client
	// itself.
	Forwarded(to ClientSocket, flush func())
	// Close stops the relay: no token is forwarded after it returns.
	Close()
	// LastTokenAt returns when the relay last forwarded a token, by the router's clock.
	LastTokenAt() int64
	// Tokens returns the number of tokens that the relay has forwarded.
	Tokens() int
}

// ErrLocal marks a dial that failed for a reason on this machine, not at the engine: no descriptors or ports are left, the
// process was paused, or the router is shutting down.
var ErrLocal = errors.New("the connection could not be made on this machine")
