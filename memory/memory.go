// Package memory bounds the bytes that a process holds of answers in progress, and of
// cached values. A limit of each answer alone does not: many upstreams may send answers
// without end at once, and many callers may read theirs slowly.
package memory

import (
	"errors"
	"sync/atomic"
)

// ErrExhausted is returned when an answer may not grow further.
var ErrExhausted = errors.New("no memory left for long answers")

const (
	// freeBytes is what every answer may hold without a share of the budget. The longest
	// usual answers are shorter, so long ones cannot starve them.
	freeBytes = 32 << 10
	// stepBytes is the granularity of shares.
	stepBytes = 32 << 10
)

// Budget is the memory for the long answers of a process. A nil Budget has no limit.
type Budget struct{ left atomic.Int64 }

// NewBudget returns a budget of a number of bytes.
func NewBudget(bytes int64) *Budget {
	b := &Budget{}
	b.left.Store(bytes)
	return b
}

// Share is the part of a budget that one answer holds. It must not be used by several
// goroutines at once.
type Share struct {
	budget *Budget
	taken  int64 // bytes
}

// Share returns an empty share.
func (b *Budget) Share() *Share { return &Share{budget: b} }

// Resize sets the bytes that the answer holds. After ErrExhausted the share is as
// before.
func (s *Share) Resize(bytes int) error {
	if s == nil || s.budget == nil {
		return nil
	}
	want := int64(max(bytes-freeBytes, 0)+stepBytes-1) / stepBytes * stepBytes
	if want == s.taken {
		return nil
	}
	if s.budget.left.Add(s.taken-want) < 0 && want > s.taken {
		s.budget.left.Add(want - s.taken)
		return ErrExhausted
	}
	s.taken = want
	return nil
}

// Release gives the share back.
func (s *Share) Release() { _ = s.Resize(0) } // a smaller share is always granted
