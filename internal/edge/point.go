package edge

// SyncPoint names a place between two steps of one goroutine at which another may overtake it. A test that forces
// two events to cross holds a goroutine there; a node in service passes.
type SyncPoint string

// The points.
const (
	ClientReadable     SyncPoint = "a client's connection has bytes, none is read"
	RequestParsed      SyncPoint = "a client's bytes are read and parsed, the owner has not been told"
	CloseDecided       SyncPoint = "the owner has decided to close a client's connection, the socket is open"
	ResponseRead       SyncPoint = "an engine's bytes are read, the owner has not been told"
	ConnectionAssigned SyncPoint = "an attempt has its connection, nothing is written"
	EndpointListRead   SyncPoint = "a list of engines is read, the owner has not been told"
)

// reach is called at a point.
func (e *Edge) reach(p SyncPoint) {
	if e.syncPointHook != nil {
		e.syncPointHook(p)
	}
}
