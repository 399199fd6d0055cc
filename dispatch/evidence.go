package dispatch

import (
	"time"

	"github.com/magnoliausher/magnoliausher/placement"
)

// Outlier detection: an upstream that breaks every answer looks idle and attracts
// requests, most of which must not be sent twice. A single gateway sees few of
// them, so gateways exchange outcome statistics and each decides on the totals.

const (
	// outcomeWindow is the sliding window over which answers are counted. At ten
	// requests a second, three broken answers in it are unlikely by chance unless
	// more than one in ten breaks.
	outcomeWindow  = 500 * time.Millisecond
	outcomeBuckets = 5
	// maxOutcomeAge is the maximum age of an outcome in the latest report of a peer;
	// reports arrive every 250 ms.
	maxOutcomeAge = outcomeWindow + 250*time.Millisecond
	// ejectMinBroken and ejectMinPercent are the number and the percentage of broken
	// answers, over all gateways, from which an upstream is ejected.
	ejectMinBroken  = 3
	ejectMinPercent = 40
	// ejectMinReporters is the number of gateways that must have seen broken answers,
	// because a single one may have a faulty network.
	ejectMinReporters = 2
	// baseEjectionTime is the duration of the first ejection; it doubles with each
	// further ejection up to maxEjectionTime. A crashed engine is back within seconds.
	baseEjectionTime = 500 * time.Millisecond
	maxEjectionTime  = 4 * time.Second
	// ejectionTTL is the time after the end of an ejection from which the next one
	// starts again with baseEjectionTime.
	ejectionTTL = 10 * time.Second
	// probationPeriod is how long after an ejection only repeatable requests are sent
	// to the upstream, unless an answer starts earlier. Most services receive such a
	// request within this time.
	probationPeriod = 2 * time.Second
)

// OutcomeStats counts the answers of an upstream to one gateway, or to a data
// centre, over the last outcomeWindow. It is reported only for upstreams that have
// recently broken an answer of any gateway or been ejected.
type OutcomeStats struct {
	Key       Key
	Broken    int
	Served    int
	Reporters int // number of gateways that have seen broken answers
}

// outcomeCounter counts answers over the last outcomeWindow.
type outcomeCounter struct {
	buckets [outcomeBuckets]struct{ broken, served int }
	newest  int64 // number of the newest bucket
}

const bucketWidth = outcomeWindow / outcomeBuckets

func (o *outcomeCounter) advance(now time.Time) {
	bucket := now.UnixNano() / int64(bucketWidth)
	if bucket-o.newest >= outcomeBuckets || bucket < o.newest {
		*o = outcomeCounter{newest: bucket}
	}
	for o.newest < bucket {
		o.newest++
		o.buckets[o.newest%outcomeBuckets] = struct{ broken, served int }{}
	}
}

func (o *outcomeCounter) record(outcome Outcome, now time.Time) {
	o.advance(now)
	switch b := &o.buckets[o.newest%outcomeBuckets]; outcome {
	case Served:
		b.served++
	case Broken:
		b.broken++
	}
}

// stats returns the totals of the window.
func (o *outcomeCounter) stats(key Key, now time.Time) OutcomeStats {
	o.advance(now)
	e := OutcomeStats{Key: key}
	for _, b := range o.buckets {
		e.Broken += b.broken
		e.Served += b.served
	}
	if e.Broken > 0 {
		e.Reporters = 1
	}
	return e
}

// warrantsEjection reports whether an upstream should be ejected by the statistics
// of all gateways. If unproven, that is, if no gateway has received an answer since
// a recent ejection, one broken answer is enough.
func (e OutcomeStats) warrantsEjection(unproven bool) bool {
	if unproven {
		return e.Broken > 0
	}
	return e.Broken >= ejectMinBroken && e.Broken*100 >= ejectMinPercent*(e.Broken+e.Served) && e.Reporters >= ejectMinReporters
}

// ejection is the latest ejection of an upstream that breaks answers.
type ejection struct {
	inRow          int // consecutive ejections
	began          time.Time
	until          time.Time // end of the ejection; no requests until then
	probationUntil time.Time // only repeatable requests until then or the first answer
}

func (e *ejection) eject(now time.Time) {
	if !e.recent(now) {
		e.inRow = 0
	}
	duration := baseEjectionTime
	for range e.inRow {
		duration = min(2*duration, maxEjectionTime)
	}
	e.inRow++
	e.began, e.until, e.probationUntil = now, now.Add(duration), now.Add(duration+probationPeriod)
}

// recent reports whether the latest ejection is in force or ended within ejectionTTL.
func (e *ejection) recent(now time.Time) bool { return e.inRow > 0 && now.Sub(e.until) <= ejectionTTL }

// statsByUpstream holds totals of outcome statistics by upstream.
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

// ownOutcomeStats returns the statistics of this gateway for its report. d.mu
// must be held.
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

// ejectionEvent is the log record of an ejection.
type ejectionEvent struct {
	upstream string
	OutcomeStats
	ejection
}

// evaluateEjections ejects upstreams by the statistics of all gateways. d.mu
// must be held. The result is to be logged after releasing it.
func (d *Dispatcher) evaluateEjections(now time.Time) []ejectionEvent {
	sums := sumStats(d.ownOutcomeStats(now))
	for _, p := range d.peers {
		if now.Sub(p.lastHeard) <= outcomeWindow {
			sums.add(p.report.Outcomes)
		}
	}
	for _, g := range d.dataCentres {
		if now.Sub(g.lastHeard) <= outcomeWindow {
			sums.add(g.Outcomes)
		}
	}
	if len(sums) == 0 {
		return nil
	}
	var events []ejectionEvent
	for id, s := range d.upstreams {
		e, found := sums[s.key]
		if e.Broken > 0 {
			s.lastBrokenReport = now // include answers to other gateways
		}
		if !found || s.ejection.until.After(now) || now.Sub(s.ejection.began) < maxOutcomeAge {
			continue
		}
		if e.Served > 0 {
			s.answeredSinceEjection.Store(true)
		}
		if e.warrantsEjection(s.ejection.recent(now) && !s.answeredSinceEjection.Load()) {
			s.ejection.eject(now)
			s.answeredSinceEjection.Store(false)
			events = append(events, ejectionEvent{id, e, s.ejection})
		}
	}
	return events
}

func (d *Dispatcher) logEjections(list []ejectionEvent) {
	for _, e := range list {
		d.cfg.Log.Info().Str("upstream", e.upstream).Int("broken", e.Broken).Int("served", e.Served).Int("reporters", e.Reporters).
			Int("in_row", e.inRow).Dur("pause", e.until.Sub(e.began)).Msg("upstream ejected")
	}
}

// ejectionStage says how an upstream may be used after an ejection.
type ejectionStage uint8

const (
	inService    ejectionStage = iota
	probation                  // takes repeatable requests, one at a time
	outOfService               // used only as a last resort
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

// shouldAvoid reports whether a request should avoid an upstream because of an
// ejection. repeatable says that the request may be sent again.
func (u *upstreamState) shouldAvoid(repeatable bool, now time.Time) bool {
	switch u.stage(now) {
	case outOfService:
		return true
	case probation:
		return !repeatable || u.online+u.batch > 0
	}
	return false
}

// excludeAvoided marks the avoided upstreams of a snapshot as unavailable, so that
// requests wait for other upstreams, even momentarily full ones, instead of failing.
// If the other reachable upstreams have less than half of all slots, the cause is
// unlikely to be individual upstreams; then the avoided ones are only degraded.
func excludeAvoided(list []placement.Upstream, avoided, unreachable []bool) {
	slots, usable := 0, 0
	for i := range list {
		slots += list[i].Slots
		if !avoided[i] && !unreachable[i] {
			usable += list[i].Slots
		}
	}
	for i := range list {
		if avoided[i] {
			list[i].Degraded = true
			list[i].Unavailable = list[i].Unavailable || 2*usable >= slots
		}
	}
}
