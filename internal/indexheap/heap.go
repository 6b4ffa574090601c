// Package indexheap implements a priority queue whose items can be moved and removed. The first item is found in constant time,
// and a change costs the logarithm of the number of items, so a caller's work depends on what is due and not on what is held. The
// package does no I/O.
package indexheap

import "container/heap"

// Item is an item of a Heap. An item is in at most one heap.
type Item[T any] interface {
	// Before reports whether the item comes before another. The order of the items of a heap must be total.
	Before(other T) bool
	// Position returns where the heap stores the item's position.
	Position() *Position
}

// Position is the position of an item in its heap. The zero value belongs to an item that is in no heap.
type Position struct{ number int } // index in the heap, from 1

// Heap is a priority queue. The zero value is an empty heap.
type Heap[T Item[T]] struct{ items items[T] }

// Set adds an item, or moves one whose order has changed.
func (h *Heap[T]) Set(item T) {
	if number := item.Position().number; number > 0 {
		heap.Fix(&h.items, number-1)
		return
	}
	heap.Push(&h.items, item)
}

// Remove removes an item; an item that is not in the heap is ignored.
func (h *Heap[T]) Remove(item T) {
	if number := item.Position().number; number > 0 {
		heap.Remove(&h.items, number-1)
	}
}

// First returns the first item; ok is false if the heap is empty.
func (h *Heap[T]) First() (first T, ok bool) {
	if len(h.items) == 0 {
		return first, false
	}
	return h.items[0], true
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.items) }

// items implements heap.Interface.
type items[T Item[T]] []T

func (s items[T]) Len() int           { return len(s) }
func (s items[T]) Less(i, j int) bool { return s[i].Before(s[j]) }

func (s items[T]) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].Position().number, s[j].Position().number = i+1, j+1
}

// Push adds an item at the end.
func (s *items[T]) Push(x any) {
	item := x.(T)
	*s = append(*s, item)
	item.Position().number = len(*s)
}

// Pop removes the last item.
func (s *items[T]) Pop() any {
	var none T
	last := len(*s) - 1
	item := (*s)[last]
	(*s)[last] = none
	*s = (*s)[:last]
	item.Position().number = 0
	return item
}
