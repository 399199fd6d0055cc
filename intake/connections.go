package intake

import (
	"container/list"
	"math"
	"time"
)

// phase is what a connection does.
type phase uint8

const (
	phaseClosing phase = iota // after a refusal, until the client has had time to read it
	phaseIdle                 // after an answer, without a byte of the next request
	phaseFresh                // before the first byte
	phaseHead                 // within the head of a request
	phaseBody                 // within the body of a request
	phaseBusy                 // the request is served
	phases
)

// awaitsRequest reports whether a connection waits for the first byte of a request.
func (p phase) awaitsRequest() bool { return p == phaseIdle || p == phaseFresh }

const (
	// freeHeadBytes is what the head of a request may take without a share of the memory
	// for heads. Usual heads have less than 1 KB; connectionBytes includes it.
	freeHeadBytes = 16 << 10
	// fieldBytes is the memory for the entries of a header field in the maps of the request
	// and of its copy for the upstream. Measured with 2,300 fields of 7 bytes: 103 bytes
	// each in one map.
	fieldBytes = 200
)

// table decides which connections are closed. It answers these loads: more connections
// than descriptors, heads with many short fields, and connections that stay open without
// a request. It has no clock and is not safe for concurrent use.
type table struct {
	limits   ConnectionLimits
	headHeld int64
	size     int
	// leaving is the number of connections that were closed by decision of the table and
	// that the server still has: net/http keeps one with its buffers for 0.5 s after a refusal.
	leaving int
	// freshFirst makes connections without a request go before idle ones, which other
	// instances keep for their next call.
	freshFirst bool
	timeLimits [phases]time.Duration // in force
	byPhase    [phases]list.List     // of *entry, in the order in which they entered the phase
}

// entry is a connection in the table.
type entry struct {
	phase     phase
	since     time.Time     // of the phase
	timeLimit time.Duration // in force then
	received  int64         // bytes of the body
	headHeld  int64
	element   *list.Element
	closed    bool // by decision of the table
	leaving   bool // counted in table.leaving
	close     func()
}

// begin begins a phase.
func (e *entry) begin(p phase, now time.Time, limits [phases]time.Duration) {
	e.phase, e.since, e.received, e.timeLimit = p, now, 0, limits[p]
}

func newTable(limits ConnectionLimits) *table { return &table{limits: limits} }

// add adds a new connection. It returns the connection to close instead, which may be
// the new one; nil for none. It is the new one if as many as the limit are leaving.
func (t *table) add(e *entry, now time.Time) *entry {
	e.begin(phaseFresh, now, t.timeLimits)
	e.element = t.byPhase[e.phase].PushBack(e)
	t.size++
	if t.limits.Connections == 0 || t.size <= t.limits.Connections {
		return nil
	}
	victim := e
	if t.leaving < t.limits.Connections {
		victim = t.victim(e, now)
	}
	if victim == e { // the server never has it
		t.remove(e)
		e.closed = true
	} else {
		t.drop(victim)
	}
	return victim
}

// victim selects the connection to close for a new one: one that is about to be closed,
// the one that has been idle for longest, or has been waited for a head for longest, or
// sends its body the slowest. Requests that are served are never chosen.
func (t *table) victim(e *entry, now time.Time) *entry {
	order := []phase{phaseClosing, phaseIdle}
	if t.freshFirst {
		order = []phase{phaseFresh, phaseIdle}
	}
	for _, p := range order {
		if oldest := t.oldest(p); oldest != nil && oldest != e {
			return oldest
		}
	}
	waiting := t.oldest(phaseFresh)
	if head := t.oldest(phaseHead); head != nil && (waiting == nil || waiting == e || head.since.Before(waiting.since)) {
		waiting = head
	}
	if waiting != nil && waiting != e {
		return waiting
	}
	slowest, least := e, 0.0
	for element := t.byPhase[phaseBody].Front(); element != nil; element = element.Next() {
		other := element.Value.(*entry)
		elapsed := now.Sub(other.since)
		if elapsed < judgeAfter {
			break
		}
		if rate := float64(other.received) / elapsed.Seconds(); slowest == e || rate < least {
			slowest, least = other, rate
		}
	}
	return slowest
}

func (t *table) oldest(p phase) *entry {
	if front := t.byPhase[p].Front(); front != nil {
		return front.Value.(*entry)
	}
	return nil
}

// drop takes a connection out of the table by decision of the table. It is leaving until
// it is removed.
func (t *table) drop(e *entry) {
	t.remove(e)
	e.closed, e.leaving = true, true
	t.leaving++
}

// restore takes a connection that drop had taken out, and of which a request is read since,
// into the table again if there is room. It returns false if the request must be refused.
func (t *table) restore(e *entry, p phase, now time.Time) bool {
	if !e.leaving || !e.phase.awaitsRequest() || t.limits.Connections > 0 && t.size >= t.limits.Connections {
		return false
	}
	e.begin(p, now, t.timeLimits)
	e.closed, e.leaving = false, false
	t.leaving--
	e.element = t.byPhase[p].PushBack(e)
	t.size++
	return true
}

// remove takes a connection that is closed out of the table. Further calls have no effect.
func (t *table) remove(e *entry) {
	if e.leaving {
		e.leaving = false
		t.leaving--
	}
	if e.element == nil {
		return
	}
	t.byPhase[e.phase].Remove(e.element)
	e.element = nil
	t.size--
	t.headHeld -= e.headHeld
	e.headHeld = 0
}

// enter records that a connection is in a phase. It returns false if the connection was
// closed by decision of the table.
func (t *table) enter(e *entry, p phase, now time.Time) bool {
	if e.element == nil {
		return !e.closed
	}
	if e.phase != p {
		t.byPhase[e.phase].Remove(e.element)
		e.element = t.byPhase[p].PushBack(e)
		e.begin(p, now, t.timeLimits)
	}
	if p == phaseIdle {
		t.headHeld -= e.headHeld
		e.headHeld = 0
	}
	return true
}

// holdHead sets the memory that the head of a connection's request takes. It returns the
// connection to close if heads take more than they may: the one with the largest head that
// is not complete; nil for none.
func (t *table) holdHead(e *entry, bytes int64) *entry {
	if e.element == nil {
		return nil
	}
	held := max(bytes-freeHeadBytes, 0)
	t.headHeld += held - e.headHeld
	e.headHeld = held
	if t.limits.HeadBytes == 0 || t.headHeld <= t.limits.HeadBytes {
		return nil
	}
	largest := e
	for element := t.byPhase[phaseHead].Front(); element != nil; element = element.Next() {
		if other := element.Value.(*entry); other.headHeld > largest.headHeld {
			largest = other
		}
	}
	t.drop(largest)
	return largest
}

// setTimeLimits sets the time limits in force; 0 is none.
func (t *table) setTimeLimits(head, idle time.Duration) {
	if head == 0 {
		head = noLimit
	}
	if idle == 0 {
		idle = noLimit
	}
	t.timeLimits = [phases]time.Duration{phaseIdle: idle, phaseFresh: idle, phaseHead: head}
}

const noLimit = time.Duration(math.MaxInt64)

// expire returns the connections whose head takes too long or that have waited for a
// request for too long, which the caller must close. A time of 0 is no limit. A lowered one
// does not apply to a phase that began before: the client may go by the limit of then.
func (t *table) expire(headTimeout, idleTimeout time.Duration, now time.Time) []*entry {
	t.setTimeLimits(headTimeout, idleTimeout)
	var expired []*entry
	for _, p := range []phase{phaseIdle, phaseFresh, phaseHead} {
		var next *list.Element
		for element := t.byPhase[p].Front(); element != nil; element = next {
			next = element.Next()
			e := element.Value.(*entry)
			elapsed := now.Sub(e.since)
			if elapsed < t.timeLimits[p] {
				break // all that follow began later
			}
			if elapsed >= e.timeLimit {
				t.drop(e)
				expired = append(expired, e)
			}
		}
	}
	return expired
}
