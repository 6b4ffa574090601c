package connpool

// stateList links all connections in one state, idle or half-closed, in the order in which they entered it.
type stateList struct{ oldest, newest *connection }

// add adds a connection that has just entered the state.
func (l *stateList) add(c *connection) {
	c.earlier = l.newest
	if l.newest == nil {
		l.oldest = c
	} else {
		l.newest.later = c
	}
	l.newest = c
}

func (l *stateList) remove(c *connection) {
	if c.earlier == nil {
		l.oldest = c.later
	} else {
		c.earlier.later = c.later
	}
	if c.later == nil {
		l.newest = c.earlier
	} else {
		c.later.earlier = c.earlier
	}
	c.earlier, c.later = nil, nil
}
