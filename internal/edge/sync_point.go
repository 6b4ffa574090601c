package edge

// SyncPoint is a point between two steps of a goroutine at which a test can pause the goroutine, to let another one run in
// between and so force a race. In production the points have no effect.
type SyncPoint string

// The sync points.
const (
	ClientAccepted     SyncPoint = "client connection accepted, not yet registered with its poller"
	ClientReadable     SyncPoint = "client connection readable, nothing read yet"
	RequestParsed      SyncPoint = "client input parsed, owner not yet notified"
	CloseDecided       SyncPoint = "owner has decided to close a client connection, socket still open"
	ResponseRead       SyncPoint = "engine response parsed, owner not yet notified"
	ConnectionAssigned SyncPoint = "connection assigned to an attempt, nothing written yet"
	EndpointListRead   SyncPoint = "endpoint list read, owner not yet notified"
)

// reachSyncPoint calls the hook of a test, if there is one.
func (e *Edge) reachSyncPoint(point SyncPoint) {
	if e.syncPointHook != nil {
		e.syncPointHook(point)
	}
}
