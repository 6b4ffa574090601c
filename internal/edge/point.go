package edge

// Point names a place between two steps of one goroutine at which another may overtake it. A test that forces
// two events to cross holds a goroutine there; a node in service passes.
type Point string

// The points.
const (
	Readable      Point = "a client's connection has bytes, none is read"
	RequestRead   Point = "a client's bytes are read and parsed, the owner has not been told"
	CloseDecided  Point = "the owner has decided to close a client's connection, the socket is open"
	AnswerRead    Point = "an engine's bytes are read, the owner has not been told"
	AttemptChosen Point = "an attempt has its connection, nothing is written"
	ListRead      Point = "a list of engines is read, the owner has not been told"
)

// pass is called at a point.
func (n *Node) pass(p Point) {
	if n.hold != nil {
		n.hold(p)
	}
}
