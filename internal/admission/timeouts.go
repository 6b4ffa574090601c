package admission

import (
	"cmp"
	"slices"
	"time"
)

// ExpiredConnection is a connection that has exceeded a timeout, and the state that it was in.
type ExpiredConnection struct {
	ID    int64
	State State
}

// Expired returns the connections that have exceeded the timeout of their state, ordered by ID.
func (ct *Controller) Expired(now int64) []ExpiredConnection {
	var expired []ExpiredConnection
	for id, c := range ct.connections {
		if ct.hasExpired(c, now) {
			expired = append(expired, ExpiredConnection{id, c.state})
		}
	}
	slices.SortFunc(expired, func(a, b ExpiredConnection) int { return cmp.Compare(a.ID, b.ID) })
	return expired
}

func (ct *Controller) hasExpired(c *connection, now int64) bool {
	var timeout time.Duration
	switch c.state {
	case Idle:
		timeout = ct.limits.IdleTimeout
	case ReadingHeader:
		timeout = ct.limits.HeaderTimeout
	case ReadingBody:
		timeout = ct.limits.BodyTimeout
	case Closing:
		timeout = ct.limits.DrainTimeout
	default:
		return false
	}
	return now-c.stateSince > int64(timeout) || ct.firstRequestExpired(c, now)
}

func (ct *Controller) firstRequestExpired(c *connection, now int64) bool {
	limit := ct.limits.FirstRequestTimeout
	return limit > 0 && c.state != Closing && c.firstRequestSince > 0 && now-c.firstRequestSince > int64(limit)
}
