package edge

// SyncPoint names a place between two steps of one goroutine at which another may overtake it. A test that forces two
// events to cross pauses a goroutine there; in service nothing happens.
type SyncPoint string

// The points.
const (
	ClientAccepted     SyncPoint = "a client's connection is accepted, its poller does not know of it"
	ClientReadable     SyncPoint = "a client's connection is readable, nothing is read"
	RequestParsed      SyncPoint = "a client's bytes are parsed, the owner is not notified"
	CloseDecided       SyncPoint = "the owner has decided to close a client's connection, the socket is open"
	ResponseRead       SyncPoint = "an engine's bytes are parsed, the owner is not notified"
	ConnectionAssigned SyncPoint = "an attempt has its connection, nothing is written"
	EndpointListRead   SyncPoint = "an endpoint list is read, the owner is not notified"
)

// reach calls a test's hook.
func (e *Edge) reach(point SyncPoint) {
	if e.syncPointHook != nil {
		e.syncPointHook(point)
	}
}
