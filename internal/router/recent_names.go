package router

// namesPerGeneration bounds the names that are remembered: a minute of a hundred requests a second, some hundred kilobytes.
const namesPerGeneration = 6000

// recentNames are the request names that clients have given. Engines know requests by name, so that a second request of the
// same name would be taken for a copy of the first. The last few thousand are kept, in two generations.
type recentNames struct{ recent, previous map[string]bool }

func (n *recentNames) contains(name string) bool { return n.recent[name] || n.previous[name] }

// remove forgets the name of a request of which nothing was sent to an engine: its client may use it again.
func (n *recentNames) remove(name string) {
	delete(n.recent, name)
	delete(n.previous, name)
}

// add remembers a name; it returns false where the name is known already.
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
