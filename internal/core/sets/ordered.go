// Package sets provides containers with a deterministic iteration order, so that
// the state machines return the same commands for the same messages.
package sets

import "iter"

// Ordered is a set that iterates over its members in the order in which they
// were added. Members may be added and removed during an iteration. The zero
// value is an empty set.
type Ordered[T comparable] struct {
	// index holds the position of each member in items.
	index map[T]int
	items []slot[T]
	// removed is the number of empty slots in items.
	removed int
}

// slot is a member, or the empty slot that its removal left.
type slot[T comparable] struct {
	value   T
	present bool
}

// Add adds the value if it is not in the set.
func (s *Ordered[T]) Add(value T) {
	if _, present := s.index[value]; present {
		return
	}
	if s.index == nil {
		s.index = map[T]int{}
	}
	s.index[value] = len(s.items)
	s.items = append(s.items, slot[T]{value: value, present: true})
}

// Remove removes the value if it is in the set.
func (s *Ordered[T]) Remove(value T) {
	i, present := s.index[value]
	if !present {
		return
	}
	delete(s.index, value)
	s.items[i] = slot[T]{}
	s.removed++
}

// Has reports whether the value is in the set.
func (s *Ordered[T]) Has(value T) bool {
	_, present := s.index[value]
	return present
}

// Len returns the number of members.
func (s *Ordered[T]) Len() int {
	return len(s.index)
}

// All returns an iterator over the members. Members removed during the iteration
// are skipped; members added during it may or may not be returned.
func (s *Ordered[T]) All() iter.Seq[T] {
	s.compact()
	return func(yield func(T) bool) {
		items := s.items
		for i := range items {
			if s.holds(items, i) && !yield(items[i].value) {
				return
			}
		}
	}
}

// holds reports whether the slot holds a member. Once members were added or slots
// were compacted, items may be an array in which removals no longer show.
func (s *Ordered[T]) holds(items []slot[T], i int) bool {
	if !items[i].present {
		return false
	}
	return len(s.items) > 0 && &s.items[0] == &items[0] || s.Has(items[i].value)
}

// minRemoved is the minimum number of empty slots for a compaction.
const minRemoved = 32

// compact copies the members to a new array without empty slots. An iteration
// in progress continues over the old array.
func (s *Ordered[T]) compact() {
	if s.removed < minRemoved || s.removed*2 < len(s.items) {
		return
	}
	items := make([]slot[T], 0, len(s.index))
	for _, it := range s.items {
		if it.present {
			s.index[it.value] = len(items)
			items = append(items, it)
		}
	}
	s.items = items
	s.removed = 0
}
