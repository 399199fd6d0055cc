// Package acceptance decides what is known of a job's acceptance from all store calls
// that were made for it. It does no I/O.
//
// A job is accepted by a transaction that writes its first row and requires a version of
// the quota row of its organisation and route, which each acceptance for the organisation
// on the route changes. Row versions only grow. So once the quota row has a later version
// than a transaction requires, the transaction has been performed, and the job's row is
// there, or it never will be.
//
// This holds for each quota row by itself: a transaction requires one of them, and only
// that one's version is compared with its condition. If two organisations submit the same
// ID, each has Calls of its own. The row of the job names one organisation, and it is
// written only if it is absent. So a row of the other organisation shows what an absent
// one does: no transaction of these Calls has written it before the read.
package acceptance

import (
	"slices"

	"github.com/magnoliausher/magnoliausher/effect"
)

// Condition is what a transaction requires of a quota row.
type Condition struct {
	Quota   string // key of the row
	Version uint64 // 0 requires it to be absent
}

// Calls is what is known of the transactions that were sent to accept one job. The zero
// value stands for none. It is not safe for concurrent use.
type Calls struct {
	stored bool
	open   map[Condition]int // transactions that may have taken effect or still may
}

// Begin records that a transaction is about to be sent.
func (c *Calls) Begin(condition Condition) {
	if c.open == nil {
		c.open = make(map[Condition]int)
	}
	c.open[condition]++
}

// End records the outcome of a transaction that Begin has announced. One of unknown
// outcome stays open.
func (c *Calls) End(condition Condition, outcome effect.Outcome) {
	switch outcome {
	case effect.Performed:
		c.stored = true
	case effect.NotPerformed:
		if c.open[condition]--; c.open[condition] <= 0 {
			delete(c.open, condition)
		}
	}
}

// RecordStored records that the job's row was seen in the store, with the organisation
// for which the calls are made.
func (c *Calls) RecordStored() { c.stored = true }

// RecordAbsent records a read that found no row of the job, or one of another organisation,
// made after the quota row was read at a version, and before the row could have been
// removed again. Only transactions that
// require an earlier version of the quota row are thereby known to have no effect; the
// others may still be performed.
func (c *Calls) RecordAbsent(quota string, version uint64) {
	for condition := range c.open {
		if condition.Quota == quota && condition.Version < version {
			delete(c.open, condition)
		}
	}
}

// OpenQuotas returns the keys of the quota rows whose versions RecordAbsent needs.
func (c *Calls) OpenQuotas() []string {
	var keys []string
	for condition := range c.open {
		if !slices.Contains(keys, condition.Quota) {
			keys = append(keys, condition.Quota)
		}
	}
	return keys
}

// Outcome returns what is known of the job's acceptance.
func (c *Calls) Outcome() effect.Outcome {
	switch {
	case c.stored:
		return effect.Performed
	case len(c.open) > 0:
		return effect.Unknown
	}
	return effect.NotPerformed
}
