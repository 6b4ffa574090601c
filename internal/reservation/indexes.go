package reservation

import (
	"cmp"

	"sandcourse/internal/indexheap"
)

// enoughAcknowledgements is the number of acknowledged releases after which a reservation counts as released.
const enoughAcknowledgements = 2

// indexes finds the reservations of a table that are due next, known longest, or removed first if the table is full. The work
// of a change grows with the logarithm of the number of reservations.
type indexes struct {
	byDue        indexheap.Heap[dueOrder]
	byAge        indexheap.Heap[ageOrder]
	acknowledged indexheap.Heap[horizonOrder] // reservations with an acknowledged release that await a further one
	unreleased   int                          // number of reservations without enough acknowledged releases
}

// positions holds the positions of a reservation in the indexes of its table.
type positions struct {
	byDue, byAge, acknowledged indexheap.Position
	unreleased                 bool
}

// update adds a reservation to the indexes, or moves it after a change.
func (x *indexes) update(r *Reservation) {
	x.byDue.Set(dueOrder{r})
	x.byAge.Set(ageOrder{r})
	if r.State == Releasing && r.Acknowledged() {
		x.acknowledged.Set(horizonOrder{r})
	} else {
		x.acknowledged.Remove(horizonOrder{r})
	}
	x.setUnreleased(r, r.State != Releasing || r.acknowledgements < enoughAcknowledgements)
}

func (x *indexes) remove(r *Reservation) {
	x.byDue.Remove(dueOrder{r})
	x.byAge.Remove(ageOrder{r})
	x.acknowledged.Remove(horizonOrder{r})
	x.setUnreleased(r, false)
}

func (x *indexes) setUnreleased(r *Reservation, unreleased bool) {
	switch {
	case unreleased && !r.positions.unreleased:
		x.unreleased++
	case !unreleased && r.positions.unreleased:
		x.unreleased--
	}
	r.positions.unreleased = unreleased
}

// compare orders IDs by request and attempt.
func (id ID) compare(other ID) int {
	return cmp.Or(cmp.Compare(id.Request, other.Request), cmp.Compare(id.Attempt, other.Attempt))
}

// dueOrder orders reservations by the time at which they are due.
type dueOrder struct{ *Reservation }

// Before implements indexheap.Item.
func (a dueOrder) Before(b dueOrder) bool {
	return cmp.Or(cmp.Compare(a.DueAt, b.DueAt), a.ID.compare(b.ID)) < 0
}

// Position implements indexheap.Item.
func (a dueOrder) Position() *indexheap.Position { return &a.positions.byDue }

// ageOrder orders reservations by the time at which they became known.
type ageOrder struct{ *Reservation }

// Before implements indexheap.Item.
func (a ageOrder) Before(b ageOrder) bool {
	return cmp.Or(cmp.Compare(a.KnownSince, b.KnownSince), a.ID.compare(b.ID)) < 0
}

// Position implements indexheap.Item.
func (a ageOrder) Position() *indexheap.Position { return &a.positions.byAge }

// horizonOrder orders reservations by the time until which their releases are repeated.
type horizonOrder struct{ *Reservation }

// Before implements indexheap.Item.
func (a horizonOrder) Before(b horizonOrder) bool {
	return cmp.Or(cmp.Compare(a.horizon, b.horizon), a.ID.compare(b.ID)) < 0
}

// Position implements indexheap.Item.
func (a horizonOrder) Position() *indexheap.Position { return &a.positions.acknowledged }
