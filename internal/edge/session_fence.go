package edge

import "sync/atomic"

// sessionFence orders the writes to a connection's session data, which the socket library stores, before the reads of its
// poller. The library relies on the kernel for that order, which the race detector does not observe.
type sessionFence struct{ published atomic.Int64 }

// publish is called after the last write to a new connection's session data.
func (f *sessionFence) publish() { f.published.Add(1) }

// acquire is called before a poller reads a connection's session data.
func (f *sessionFence) acquire() { f.published.Load() }
