package admission

import "cmp"

// Rejection is the reason why a request is not admitted.
type Rejection uint8

// The rejections.
const (
	Admitted         Rejection = iota
	QuotaExceeded              // the tenant has its fair share of requests open, and no spare capacity is left
	CapacityExceeded           // the router has reached its limit of open requests
	BufferFull                 // the router has exceeded its limit of buffered bytes
)

var rejectionNames = [...]string{
	Admitted:         "admitted",
	QuotaExceeded:    "quota exceeded",
	CapacityExceeded: "capacity exceeded",
	BufferFull:       "buffer full",
}

// String returns the rejection's name.
func (r Rejection) String() string { return rejectionNames[r] }

// Three quarters of the limit of open requests are available to every tenant. The last quarter is for tenants that have less
// than their equal share of the first three, so that a tenant that floods the router, even while it is alone, cannot lock
// out tenants that arrive later.
const (
	quarters       = 4
	commonQuarters = 3
)

// Admit counts a request of a tenant as open, or returns why it is rejected.
func (ct *Controller) Admit(id int64, tenant string) Rejection {
	c, open := ct.connections[id], ct.openByTenant[tenant]
	tenants := len(ct.openByTenant)
	if open == 0 {
		tenants++
	}
	common := commonQuarters * ct.limits.OpenRequests
	switch {
	case c == nil || ct.openRequests >= ct.limits.OpenRequests:
		return CapacityExceeded
	case ct.bufferedBytes > ct.limits.BufferedBytes:
		return BufferFull
	case quarters*ct.openRequests >= common && open >= max(1, common/(quarters*tenants)):
		return QuotaExceeded
	}
	c.openRequests++
	ct.openRequests++
	ct.openByTenant[tenant]++
	return Admitted
}

// Release ends a request that Admit has admitted.
func (ct *Controller) Release(id int64, tenant string) {
	if c := ct.connections[id]; c != nil {
		c.openRequests--
	}
	ct.openRequests--
	if ct.openByTenant[tenant]--; ct.openByTenant[tenant] <= 0 {
		delete(ct.openByTenant, tenant)
	}
}

// waitingShare is the inverse of the share of the buffered bytes up to which requests may wait behind others. The rest is for
// requests at their turn.
const waitingShare = 2

// MayBufferWaiting reports whether a request that waits for the answer to another one may be kept.
func (ct *Controller) MayBufferWaiting() bool {
	return ct.bufferedBytes <= ct.limits.BufferedBytes/waitingShare
}

// LargestUnfinished returns the connection with the most bytes of an incomplete request while the limit of buffered bytes is
// exceeded; otherwise 0. That request is rejected first, as a client that slowly sends a large request holds up all others.
// Earlier requests on the connection may still be served.
func (ct *Controller) LargestUnfinished() int64 {
	if ct.bufferedBytes <= ct.limits.BufferedBytes {
		return 0
	}
	var largest *connection
	for _, c := range ct.connections {
		if c.unfinishedBytes > 0 && (largest == nil || largerThan(c, largest)) {
			largest = c
		}
	}
	if largest == nil {
		return 0
	}
	return largest.id
}

// largerThan reports whether a has more bytes of an incomplete request than b; of two connections with equally many the older
// one counts as larger.
func largerThan(a, b *connection) bool {
	return cmp.Or(cmp.Compare(a.unfinishedBytes, b.unfinishedBytes), cmp.Compare(b.id, a.id)) > 0
}
