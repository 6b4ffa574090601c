package edge

import "sync/atomic"

// sessionFence orders what is written about a connection when it opens before what its poller reads of it later. The
// socket library leaves that order to the kernel, which the race detector does not see.
type sessionFence struct{ published atomic.Int64 }

// publish follows the last write about a new connection.
func (f *sessionFence) publish() { f.published.Add(1) }

// acquire comes before a poller's first look at a connection.
func (f *sessionFence) acquire() { f.published.Load() }
