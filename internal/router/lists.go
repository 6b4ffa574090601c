package router

import (
	"slices"
	"time"

	"sandcourse/internal/endpoint"
)

// olderListFor is for how long a drain that was told holds against a list of an older revision. Agents of discovery lag
// by seconds; an older list that stays for longer is that of a store that was restored.
const olderListFor = int64(10 * time.Second)

// lists tells lists that are older than one that came before.
type lists struct {
	newest int64 // revision
	// latest is the list as it came last, and againAt is when it has to be looked at again; 0 for never.
	latest  endpoint.List
	againAt int64
}

// TakeList takes a list of engines, which replaces the one before. Drains that were told stay as they are where the list is
// older than the one that told them, as when discovery has moved to an agent that lags.
func (o *Core) TakeList(list endpoint.List) {
	o.lists.latest, o.lists.againAt = list, 0
	if list.Revision < o.lists.newest {
		list.Entries = o.keepDrains(list.Entries)
	}
	o.lists.newest = max(o.lists.newest, list.Revision)
	o.takeList(list)
}

// keepDrains are the engines of an older list, with those that were told to drain, or to be gone, not long ago as draining.
func (o *Core) keepDrains(engines []endpoint.Entry) []endpoint.Entry {
	engines = slices.Clone(engines)
	for i := range engines {
		e := &engines[i]
		told := o.told[e.ID]
		if e.State != endpoint.Ready || told == 0 || o.now-told >= olderListFor || o.starts.isNew(*e) {
			continue
		}
		e.State = endpoint.Draining
		o.lists.againAt = max(o.lists.againAt, told+olderListFor)
	}
	return engines
}

// lookAgain takes the latest list once more when drains do not hold against it any more.
func (o *Core) lookAgain() {
	if o.lists.againAt > 0 && o.now >= o.lists.againAt {
		o.TakeList(o.lists.latest)
	}
}
