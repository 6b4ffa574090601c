package router

import (
	"cmp"
	"container/heap"
	"math"
)

// timer is a timer of the routing policy.
type timer struct {
	at, sequence int64
	token        int64
	restarts     uint64 // value of policyRunner.restarts when the timer was set: timers of an earlier policy have no effect
}

// timerQueue holds the timers that have not fired. Timers that are due at the same time fire in the order in which they
// were set.
type timerQueue struct {
	heap         timerHeap
	lastSequence int64
}

func (q *timerQueue) set(t timer) {
	q.lastSequence++
	t.sequence = q.lastSequence
	heap.Push(&q.heap, t)
}

// next returns when the next timer is due; math.MaxInt64 if no timer is set.
func (q *timerQueue) next() int64 {
	if len(q.heap) == 0 {
		return math.MaxInt64
	}
	return q.heap[0].at
}

// popDue removes and returns the next timer that is due by now.
func (q *timerQueue) popDue(now int64) (t timer, ok bool) {
	if len(q.heap) == 0 || q.heap[0].at > now {
		return timer{}, false
	}
	return heap.Pop(&q.heap).(timer), true
}

// timerHeap implements heap.Interface.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), cmp.Compare(h[i].sequence, h[j].sequence)) < 0
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds a timer.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop removes the last timer.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = timer{}
	*h = (*h)[:last]
	return t
}
