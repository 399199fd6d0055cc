package dispatch

import (
	"time"

	"github.com/magnoliausher/magnoliausher/placement"
)

// An upstream that breaks every answer looks empty and so draws requests, most
// of which may not be sent twice. One gateway sees few of them, so gateways tell
// each other what came of their requests, and all judge by the sum.

const (
	// outcomeWindow is the time over which answers are counted. At ten requests
	// a second, three broken answers in it are unlikely by chance unless more than
	// one in ten breaks.
	outcomeWindow  = 500 * time.Millisecond
	outcomeBuckets = 5
	// maxOutcomeAge is the greatest age of evidence in the last report of a peer,
	// which comes each 250 ms.
	maxOutcomeAge = outcomeWindow + 250*time.Millisecond
	// ejectMinBroken and ejectShare: an upstream is ejected when this many answers, and
	// this part in percent of all, were broken at all gateways together.
	ejectMinBroken  = 3
	ejectMinPercent = 40
	// ejectMinReporters is the least number of gateways that have seen broken answers:
	// one alone may have a broken network.
	ejectMinReporters = 2
	// baseEjectionTime is the first time without requests; it doubles with each ejection
	// until ejectPauseMax. Engines that crash are back after some seconds.
	baseEjectionTime = 500 * time.Millisecond
	maxEjectionTime  = 4 * time.Second
	// ejectionResetTime: an ejection this long after the last one counts as the first.
	ejectionResetTime = 10 * time.Second
	// probationPeriod is how long after the pause only requests that may be sent again
	// are tried, unless an answer begins before. Longer than most services are
	// without such requests.
	probationPeriod = 2 * time.Second
)

// OutcomeStats is what came of the requests of one gateway, or of a data centre, at
// an upstream over the last evidenceWindow. Upstreams that have neither broken an
// answer of any gateway nor been ejected lately have none.
type OutcomeStats struct {
	Key       Key
	Broken    int
	Served    int
	Reporters int // gateways that have seen broken answers
}

// outcomeCounter counts answers over the last evidenceWindow.
type outcomeCounter struct {
	buckets [outcomeBuckets]struct{ broken, served int }
	newest  int64 // number of the newest slot
}

const bucketWidth = outcomeWindow / outcomeBuckets

func (o *outcomeCounter) advance(now time.Time) {
	slot := now.UnixNano() / int64(bucketWidth)
	if slot-o.newest >= outcomeBuckets || slot < o.newest {
		*o = outcomeCounter{newest: slot}
	}
	for o.newest < slot {
		o.newest++
		o.buckets[o.newest%outcomeBuckets] = struct{ broken, served int }{}
	}
}

func (o *outcomeCounter) record(outcome Outcome, now time.Time) {
	o.advance(now)
	switch s := &o.buckets[o.newest%outcomeBuckets]; outcome {
	case Served:
		s.served++
	case Broken:
		s.broken++
	}
}

// stats returns the sums.
func (o *outcomeCounter) stats(key Key, now time.Time) OutcomeStats {
	o.advance(now)
	e := OutcomeStats{Key: key}
	for _, s := range o.buckets {
		e.Broken += s.broken
		e.Served += s.served
	}
	if e.Broken > 0 {
		e.Reporters = 1
	}
	return e
}

// warrantsEjection reports whether the evidence of all gateways speaks for an ejection.
// An upstream that has been ejected and that nobody has had an answer from since
// is judged by its first broken one.
func (e OutcomeStats) warrantsEjection(unproven bool) bool {
	if unproven {
		return e.Broken > 0
	}
	return e.Broken >= ejectMinBroken && e.Broken*100 >= ejectMinPercent*(e.Broken+e.Served) && e.Reporters >= ejectMinReporters
}

// ejection is the time without requests of an upstream that breaks answers.
type ejection struct {
	inRow          int // in a row
	began          time.Time
	until          time.Time // no requests
	probationUntil time.Time // only requests that may be sent again, until then or the first answer
}

func (e *ejection) eject(now time.Time) {
	if !e.recent(now) {
		e.inRow = 0
	}
	pause := baseEjectionTime
	for range e.inRow {
		pause = min(2*pause, maxEjectionTime)
	}
	e.inRow++
	e.began, e.until, e.probationUntil = now, now.Add(pause), now.Add(pause+probationPeriod)
}

// recent reports whether the last ejection still counts.
func (e *ejection) recent(now time.Time) bool {
	return e.inRow > 0 && now.Sub(e.until) <= ejectionResetTime
}

// statsByUpstream adds up evidence by upstream.
type statsByUpstream map[Key]OutcomeStats

func sumStats(list []OutcomeStats) statsByUpstream {
	s := make(statsByUpstream)
	s.add(list)
	return s
}

func (s statsByUpstream) add(list []OutcomeStats) {
	for _, e := range list {
		sum := s[e.Key]
		s[e.Key] = OutcomeStats{Key: e.Key, Broken: sum.Broken + e.Broken, Served: sum.Served + e.Served,
			Reporters: sum.Reporters + e.Reporters}
	}
}

// ownOutcomeStats returns the own evidence against upstreams. The caller holds the lock.
func (d *Dispatcher) ownOutcomeStats(now time.Time) []OutcomeStats {
	var list []OutcomeStats
	for _, s := range d.upstreams {
		e := s.recentOutcomes.stats(s.key, now)
		if e.Broken > 0 || e.Served > 0 && (s.ejection.recent(now) || now.Sub(s.lastBrokenReport) <= outcomeWindow) {
			list = append(list, e)
		}
	}
	return list
}

// ejectionEvent is a line for the log: an upstream gets no requests.
type ejectionEvent struct {
	upstream string
	OutcomeStats
	ejection
}

// evaluateEjections ejects upstreams by the evidence of all gateways. The caller holds the
// lock and logs the result without it.
func (d *Dispatcher) evaluateEjections(now time.Time) []ejectionEvent {
	sums := sumStats(d.ownOutcomeStats(now))
	for _, p := range d.peers {
		if now.Sub(p.lastHeard) <= outcomeWindow {
			sums.add(p.report.Outcomes)
		}
	}
	for _, g := range d.dataCentres {
		if now.Sub(g.heard) <= outcomeWindow {
			sums.add(g.Outcomes)
		}
	}
	if len(sums) == 0 {
		return nil
	}
	var list []ejectionEvent
	for id, s := range d.upstreams {
		e, told := sums[s.key]
		if e.Broken > 0 {
			s.lastBrokenReport = now // what others have had from it counts as well
		}
		if !told || s.ejection.until.After(now) || now.Sub(s.ejection.began) < maxOutcomeAge {
			continue
		}
		if e.Served > 0 {
			s.answeredSinceEjection.Store(true)
		}
		if e.warrantsEjection(s.ejection.recent(now) && !s.answeredSinceEjection.Load()) {
			s.ejection.eject(now)
			s.answeredSinceEjection.Store(false)
			list = append(list, ejectionEvent{id, e, s.ejection})
		}
	}
	return list
}

func (d *Dispatcher) logEjections(list []ejectionEvent) {
	for _, e := range list {
		d.cfg.Log.Info().Str("upstream", e.upstream).Int("broken", e.Broken).Int("served", e.Served).Int("reporters", e.Reporters).
			Int("in_row", e.inRow).Dur("pause", e.until.Sub(e.began)).Msg("upstream ejected")
	}
}

// ejectionStage says how far an upstream may be used after an ejection.
type ejectionStage uint8

const (
	inService    ejectionStage = iota
	probation                  // by requests that may be sent again, one at a time
	outOfService               // as a last resort
)

func (u *upstreamState) stage(now time.Time) ejectionStage {
	switch {
	case u.ejection.until.After(now):
		return outOfService
	case u.ejection.probationUntil.After(now) && !u.answeredSinceEjection.Load():
		return probation
	}
	return inService
}

// shouldAvoid reports whether an ejection speaks against an upstream for a request
// that may, or may not, be sent again.
func (u *upstreamState) shouldAvoid(repeatable bool, now time.Time) bool {
	switch u.stage(now) {
	case outOfService:
		return true
	case probation:
		return !repeatable || u.online+u.batch > 0
	}
	return false
}

// excludeAvoided closes the upstreams of a snapshot that ejections speak against,
// so that requests wait for others rather than break, also for those that are
// full for a moment. If the others, without dead ones, have less than half of the
// slots, the fault is hardly that of single upstreams, and they are only used last.
func excludeAvoided(list []placement.Upstream, avoided, dead []bool) {
	slots, left := 0, 0
	for i := range list {
		slots += list[i].Slots
		if !avoided[i] && !dead[i] {
			left += list[i].Slots
		}
	}
	for i := range list {
		if avoided[i] {
			list[i].Degraded = true
			list[i].Unavailable = list[i].Unavailable || 2*left >= slots
		}
	}
}
