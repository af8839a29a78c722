// Package due implements a queue of functions that are ordered by the time at which they are due. It reads no
// clock: the caller passes the current time.
package due

import "github.com/google/btree"

// item is a function and the time at which it is due. Items of the same time keep the order in which they
// were added.
type item[T ~int64] struct {
	at  T
	seq uint64
	do  func()
}

// Queue is a queue of functions, ordered by time.
type Queue[T ~int64] struct {
	tree *btree.BTreeG[item[T]]
	seq  uint64
}

// New returns an empty queue.
func New[T ~int64]() *Queue[T] {
	return &Queue[T]{tree: btree.NewG(16, func(a, b item[T]) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq })}
}

// Schedule schedules a function to run at the given time.
func (t *Queue[T]) Schedule(at T, do func()) {
	t.seq++
	t.tree.ReplaceOrInsert(item[T]{at, t.seq, do})
}

// Next returns the time of the earliest function. ok is false if the queue is empty.
func (t *Queue[T]) Next() (at T, ok bool) {
	first, ok := t.tree.Min()
	return first.at, ok
}

// RunDue runs the functions that are due by now, except those that they add themselves. Each is removed before
// it runs, so a panic loses only the function that panicked.
func (t *Queue[T]) RunDue(now T) {
	last := t.seq
	for first, ok := t.tree.Min(); ok && first.at <= now && first.seq <= last; first, ok = t.tree.Min() {
		t.tree.DeleteMin()
		first.do()
	}
}
