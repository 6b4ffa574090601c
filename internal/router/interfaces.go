package router

import "errors"

// Transport is what a router needs of the network. Its methods must not call back into the router, but for CatchUp.
type Transport interface {
	// CatchUp is called after each decision of the policy, which may have taken a while, and before it is carried out. It may
	// call SetTime, and UpdateEndpoints with lists that have come meanwhile.
	CatchUp()
	// Dial connects to an engine; Router.EngineConnected follows, in a later event.
	Dial(conn *EngineConnection)
	// SendToPeer sends a short text to one router, or to all others where to is negative.
	SendToPeer(to int, text string)
}

// ClientSocket is the socket of a client's connection.
type ClientSocket interface {
	// Send queues data for the client. It fails where too much is queued already.
	Send(data []byte) error
	// Flushed is whether all that was sent is with the kernel.
	Flushed() bool
	// StopReading drops what the client still sends.
	StopReading()
	// Disconnected is whether the connection has ended, though the router may not have been told yet.
	Disconnected() bool
	// CloseIfIdle closes the connection unless a request has been read, in whole or in part, that is not answered yet.
	CloseIfIdle() bool
	// Close closes the connection at once.
	Close()
}

// EngineSocket is the socket of a connection to an engine.
type EngineSocket interface {
	// Write sends a request. After an error Router.EngineDisconnected follows, in a later event.
	Write(request []byte) error
	// RequestWritten is whether the last byte of the last request is with the kernel.
	RequestWritten() bool
	// Close closes the connection at once.
	Close()
}

// Relay passes the tokens of a stream from an engine to a client without the router, once the router has forwarded those
// that came before.
type Relay interface {
	// Forwarded says that the router has forwarded one token. The relay may call flush before it sends to the client itself.
	Forwarded(to ClientSocket, flush func())
	// Close stops the relay: no token passes after it returns.
	Close()
	// LastTokenAt is when a token last passed, by the router's clock.
	LastTokenAt() int64
	// Tokens is how many tokens have passed.
	Tokens() int
}

// ErrLocal marks a failed dial that says nothing of the engine: this machine has no descriptors or ports left, or the
// router is shutting down.
var ErrLocal = errors.New("the connection could not be made on this machine")
