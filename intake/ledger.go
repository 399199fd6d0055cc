package intake

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// smallBytes is the largest body with room of its own. Usual requests have 1.5 KB and
	// usual batch jobs 15 KB.
	smallBytes = 64 << 10
	// judgeAfter is how long a body is read before its progress counts against it. A usual
	// body arrives within milliseconds.
	judgeAfter = 2 * time.Second
	// floorPerSecond is the progress in bytes below which a body may be dropped. Sixty
	// bodies at once on the slowest network (22 Mbit/s) have 46 KB a second each.
	floorPerSecond = 8 << 10
	// maxReading is the time after which a body counts as slow whatever its progress.
	// A body of 4 MiB at 1 Mbit/s takes 34 s.
	maxReading = 40 * time.Second
)

// verdict is the answer to a body that needs more memory.
type verdict uint8

const (
	granted verdict = iota
	// waits means that bodies were dropped whose memory suffices once it is given back.
	waits
	refused
)

// pool is a part of the budget.
type pool struct{ limit, held int64 }

// ledger decides which bodies may be kept in memory. It answers this load: more
// unfinished bodies than fit in memory. It has no clock and is not safe for concurrent use.
//
// A body of up to smallBytes belongs to the pool of small bodies and a larger one to that
// of large bodies as a whole, so that large bodies take nothing from small ones. What a
// body holds beside its own bytes has no effect on the pool, unless it exceeds the whole
// pool of small bodies.
type ledger struct {
	small, large pool
	bodies       map[*body]struct{} // that hold memory
	// charged is the memory in the pool of large bodies that was in use before it was
	// counted. It may exceed the limit.
	charged int64
}

// body is a request body that is read, or that belongs to a request in progress.
type body struct {
	held     int64
	extra    int64 // the part of held that is not for bytes of the body, while it is read
	large    bool
	reading  bool
	dropped  bool
	charged  bool
	began    time.Time // of reading
	received int64     // bytes
	last     time.Time // when the last bytes were received
	// mark and marked are the time and the bytes received when progress was last taken.
	mark   time.Time
	marked int64
	// rate is the progress in bytes a second between the last two marks.
	rate      float64
	rated     bool   // there are two marks
	interrupt func() // ends a read that blocks
}

func newLedger(small, large int64) *ledger {
	return &ledger{small: pool{limit: small}, large: pool{limit: large}, bodies: make(map[*body]struct{})}
}

func (l *ledger) poolOf(large bool) *pool {
	if large {
		return &l.large
	}
	return &l.small
}

// progress records that a body has received bytes.
func (b *body) progress(n int, now time.Time) {
	if elapsed := now.Sub(b.mark); elapsed >= judgeAfter {
		b.rate, b.rated = float64(b.received-b.marked)/elapsed.Seconds(), true
		b.mark, b.marked = now, b.received
	}
	if n > 0 {
		b.received += int64(n)
		b.last = now
	}
}

// resume begins to measure progress anew, after a time in which the process did not read.
func (b *body) resume(now time.Time) { b.last, b.mark, b.marked, b.rated = now, now, b.received, false }

// slow reports whether the body makes too little progress to keep its memory.
func (b *body) slow(now time.Time) bool {
	if !b.reading || now.Sub(b.began) < judgeAfter {
		return false
	}
	if now.Sub(b.began) >= maxReading {
		return true
	}
	return b.pace(now) < floorPerSecond
}

// pace returns the progress of a body in bytes a second, as far as it is known. A rate
// since the mark would not show that a body stands still after it began fast.
func (b *body) pace(now time.Time) float64 {
	switch {
	case now.Sub(b.last) >= judgeAfter:
		return 0
	case b.rated:
		return b.rate
	}
	return math.Inf(1)
}

// resize sets the memory that a body holds and moves it to the pool of its size. Unless
// the verdict is granted, nothing has changed except that the returned bodies are dropped.
func (l *ledger) resize(b *body, held int64, now time.Time) (verdict, []*body) {
	if b.dropped {
		return refused, nil
	}
	large := b.large || b.reading && held-b.extra > smallBytes || held > l.small.limit
	to := l.poolOf(large)
	need := held
	if large == b.large {
		need -= b.held
	}
	missing := to.held + need - to.limit
	if need <= 0 || missing <= 0 {
		l.move(b, held, large)
		return granted, nil
	}
	if held > to.limit {
		return refused, nil
	}
	return l.makeRoom(b, large, missing, now)
}

func (l *ledger) move(b *body, held int64, large bool) {
	l.poolOf(b.large).held -= b.held
	b.large = large && held > 0
	l.poolOf(b.large).held += held
	if b.charged {
		l.charged += held - b.held
	}
	b.held = held
	if held > 0 {
		l.bodies[b] = struct{}{}
	} else {
		delete(l.bodies, b)
	}
}

// makeRoom drops slow bodies of a pool, those that hold the most first, if they hold what
// is missing together with those already dropped.
func (l *ledger) makeRoom(b *body, large bool, missing int64, now time.Time) (verdict, []*body) {
	var slow []*body
	var held int64
	for other := range l.bodies {
		if other == b || other.large != large {
			continue
		}
		if other.dropped {
			missing -= other.held
		} else if other.slow(now) {
			slow = append(slow, other)
			held += other.held
		}
	}
	if held < missing {
		return refused, nil
	}
	slices.SortFunc(slow, func(a, b *body) int {
		return cmp.Or(cmp.Compare(b.held, a.held), cmp.Compare(a.pace(now), b.pace(now)), a.began.Compare(b.began))
	})
	var dropped []*body
	for _, victim := range slow {
		if missing <= 0 {
			break
		}
		victim.dropped = true
		missing -= victim.held
		dropped = append(dropped, victim)
	}
	return waits, dropped
}

// charge adds memory that is in use already, beyond the limit if need be. It belongs to
// the pool of large bodies, since it must not keep small ones out.
func (l *ledger) charge(b *body, held int64) {
	b.charged = true
	l.move(b, held, true)
}

// complete ends the reading of a body. It returns false if the body was dropped before.
func (l *ledger) complete(b *body) bool {
	b.reading = false
	return !b.dropped
}

// release gives back all that a body holds.
func (l *ledger) release(b *body) { l.move(b, 0, false) }

// chargedMatters reports whether so much is charged that freeing it may help a body.
func (l *ledger) chargedMatters() bool { return l.charged > l.large.limit/4 }
