package router

// namesPerGeneration is how many names one generation remembers: those of a minute at a hundred requests per second, some
// hundred kilobytes.
const namesPerGeneration = 6000

// recentNames remembers the request names that clients have sent. Engines identify requests by name, so they would treat
// a second request of the same name as a duplicate of the first. The last few thousand names are kept, in two
// generations.
type recentNames struct{ recent, previous map[string]bool }

func (n *recentNames) contains(name string) bool { return n.recent[name] || n.previous[name] }

// remove forgets the name of a request that was never sent to an engine: the client may use the name again.
func (n *recentNames) remove(name string) {
	delete(n.recent, name)
	delete(n.previous, name)
}

// add remembers a name; it returns false if the name is already known.
func (n *recentNames) add(name string) bool {
	if n.contains(name) {
		return false
	}
	if n.recent == nil || len(n.recent) >= namesPerGeneration {
		n.recent, n.previous = map[string]bool{}, n.recent
	}
	n.recent[name] = true
	return true
}
