package poison

import (
	"slices"
	"time"
)

// minRetryAfter is the least time after which a rejected request may come again.
const minRetryAfter = time.Second

// Admission is the decision on sending a request.
type Admission struct {
	Blocked bool
	Suspect bool // not blocked, but the request or a part of its prompt was running at a crash
	// Trial: the request tests whether Cause is blocked rightly, so that it must not be
	// sent a second time.
	Trial      bool
	Cause      uint64        // the fingerprint that is blocked or tested
	RetryAfter time.Duration // if Blocked, until the next trial may start
}

// Admit decides on a request with the given fingerprints. rank returns this process's
// rank for a trial of a fingerprint; it is called without locks held. A request with
// several blocked fingerprints is no trial, since its crash would say nothing about
// each of them.
func (t *Table) Admit(fingerprints []uint64, rank func(fingerprint uint64) int, now time.Time) Admission {
	cause, due, blocked, suspect := t.blocked(fingerprints, now)
	switch {
	case blocked == 0:
		return Admission{Suspect: suspect}
	case blocked == 1 && !now.Before(due) && t.startTrial(cause, rank(cause), now):
		return Admission{Trial: true, Cause: cause}
	}
	return Admission{Blocked: true, Cause: cause, RetryAfter: max(due.Sub(now), minRetryAfter)}
}

// Recheck decides on a request that was admitted before. It starts no trial.
func (t *Table) Recheck(fingerprints []uint64, now time.Time) Admission {
	cause, due, blocked, suspect := t.blocked(fingerprints, now)
	if blocked == 0 {
		return Admission{Suspect: suspect}
	}
	return Admission{Blocked: true, Cause: cause, RetryAfter: max(due.Sub(now), minRetryAfter)}
}

// blocked returns the number of blocked fingerprints, the first of them and the
// earliest time of its next trial, and whether any fingerprint was running at a crash.
func (t *Table) blocked(fingerprints []uint64, now time.Time) (cause uint64, due time.Time, n int, suspect bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, fp := range fingerprints {
		r := t.live(fp, now)
		suspect = suspect || r != nil && len(r.crashIDs) > 0
		if r == nil || len(r.crashIDs) < t.cfg.BlockAfter {
			continue
		}
		if n == 0 {
			cause, due = fp, t.trialDue(fp, r, 0, now)
		}
		n++
	}
	return cause, due, n, suspect
}

// trialDue returns when a process of the given rank may start the next trial of a
// blocked record.
func (t *Table) trialDue(fp uint64, r *record, rank int, now time.Time) time.Time {
	delay := trialDelay(len(r.crashIDs) - t.cfg.BlockAfter)
	if t.isExplained(fp, r, now) {
		delay = min(delay, explainedTrialDelay)
	}
	due := r.crashedAt.Add(delay + rankDelay(rank))
	if next := r.trialAt.Add(trialTimeout); !r.trialAt.IsZero() && next.After(due) {
		return next
	}
	return due
}

// isExplained reports whether another blocked fingerprint was in progress at all crashes
// of a blocked record.
func (t *Table) isExplained(fp uint64, r *record, now time.Time) bool {
	for otherFP, other := range t.records {
		if otherFP == fp || len(other.crashIDs) < len(r.crashIDs) || !other.expires.After(now) {
			continue
		}
		missing := func(id uint64) bool { return !slices.Contains(other.crashIDs, id) }
		if !slices.ContainsFunc(r.crashIDs, missing) {
			return true
		}
	}
	return false
}

// startTrial reports whether this process starts a trial now.
func (t *Table) startTrial(fp uint64, rank int, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.live(fp, now)
	if r == nil || len(r.crashIDs) < t.cfg.BlockAfter || now.Before(t.trialDue(fp, r, rank, now)) {
		return false
	}
	r.trialAt = now
	return true
}
