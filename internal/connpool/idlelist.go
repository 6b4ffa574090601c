package connpool

// idleList links all idle connections in the order in which they became idle.
type idleList struct{ oldest, newest *connection }

// add adds a connection that has just become idle.
func (l *idleList) add(c *connection) {
	c.earlierIdle = l.newest
	if l.newest == nil {
		l.oldest = c
	} else {
		l.newest.laterIdle = c
	}
	l.newest = c
}

func (l *idleList) remove(c *connection) {
	if c.earlierIdle == nil {
		l.oldest = c.laterIdle
	} else {
		c.earlierIdle.laterIdle = c.laterIdle
	}
	if c.laterIdle == nil {
		l.newest = c.earlierIdle
	} else {
		c.laterIdle.earlierIdle = c.earlierIdle
	}
	c.earlierIdle, c.laterIdle = nil, nil
}
