package attempt

// UnavailableSince holds the time of the first notification that an engine drains or has left the endpoint list, by
// engine. A later notification that the engine is ready removes the entry.
type UnavailableSince map[string]int64

// Record records a notification about one engine.
func (u UnavailableSince) Record(engine string, ready bool, now int64) {
	if ready {
		delete(u, engine)
	} else if u[engine] == 0 {
		u[engine] = now
	}
}
