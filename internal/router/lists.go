package router

import (
	"slices"
	"time"

	"sandcourse/internal/endpoint"
)

// drainRetention is for how long a drain that was told holds against a list of an older revision. Agents of discovery lag
// by seconds; an older list that stays for longer is that of a store that was restored.
const drainRetention = int64(10 * time.Second)

// listHistory tells lists that are older than one that came before.
type listHistory struct {
	newestRevision int64 // revision
	// latest is the list as it came last, and againAt is when it has to be looked at again; 0 for never.
	latest    endpoint.List
	recheckAt int64
}

// UpdateEndpoints takes a list of engines, which replaces the one before. Drains that were told stay as they are where the list is
// older than the one that told them, as when discovery has moved to an agent that lags.
func (r *Router) UpdateEndpoints(list endpoint.List) {
	r.listHistory.latest, r.listHistory.recheckAt = list, 0
	if list.Revision < r.listHistory.newestRevision {
		list.Entries = r.keepDrains(list.Entries)
	}
	r.listHistory.newestRevision = max(r.listHistory.newestRevision, list.Revision)
	r.replaceEndpoints(list)
}

// keepDrains are the engines of an older list, with those that were told to drain, or to be gone, not long ago as draining.
func (r *Router) keepDrains(engines []endpoint.Entry) []endpoint.Entry {
	engines = slices.Clone(engines)
	for i := range engines {
		e := &engines[i]
		notifiedAt := r.drains[e.ID]
		if e.State != endpoint.Ready || notifiedAt == 0 || r.now-notifiedAt >= drainRetention || r.starts.isRestart(*e) {
			continue
		}
		e.State = endpoint.Draining
		r.listHistory.recheckAt = max(r.listHistory.recheckAt, notifiedAt+drainRetention)
	}
	return engines
}

// reapplyEndpoints takes the latest list once more when drains do not hold against it any more.
func (r *Router) reapplyEndpoints() {
	if r.listHistory.recheckAt > 0 && r.now >= r.listHistory.recheckAt {
		r.UpdateEndpoints(r.listHistory.latest)
	}
}
