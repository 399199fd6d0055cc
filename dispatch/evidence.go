package dispatch

import (
	"time"

	"github.com/magnoliausher/magnoliausher/placement"
)

// An upstream that breaks every answer looks empty and so draws requests, most
// of which may not be sent twice. One gateway sees few of them, so gateways tell
// each other what came of their requests, and all judge by the sum.

const (
	// evidenceWindow is the time over which answers are counted. At ten requests
	// a second, three broken answers in it are unlikely by chance unless more than
	// one in ten breaks.
	evidenceWindow = 500 * time.Millisecond
	evidenceSlots  = 5
	// evidenceAge is the greatest age of evidence in the last report of a peer,
	// which comes each 250 ms.
	evidenceAge = evidenceWindow + 250*time.Millisecond
	// ejectBroken and ejectShare: an upstream is ejected when this many answers, and
	// this part in percent of all, were broken at all gateways together.
	ejectBroken = 3
	ejectShare  = 40
	// ejectReporters is the least number of gateways that have seen broken answers:
	// one alone may have a broken network.
	ejectReporters = 2
	// ejectPause is the first time without requests; it doubles with each ejection
	// until ejectPauseMax. Engines that crash are back after some seconds.
	ejectPause    = 500 * time.Millisecond
	ejectPauseMax = 4 * time.Second
	// ejectMemory: an ejection this long after the last one counts as the first.
	ejectMemory = 10 * time.Second
	// trialTime is how long after the pause only requests that may be sent again
	// are tried, unless an answer begins before. Longer than most services are
	// without such requests.
	trialTime = 2 * time.Second
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

// outcomes counts answers over the last evidenceWindow.
type outcomes struct {
	slots [evidenceSlots]struct{ broken, served int }
	slot  int64 // number of the newest slot
}

const outcomeSlot = evidenceWindow / evidenceSlots

func (o *outcomes) roll(now time.Time) {
	slot := now.UnixNano() / int64(outcomeSlot)
	if slot-o.slot >= evidenceSlots || slot < o.slot {
		*o = outcomes{slot: slot}
	}
	for o.slot < slot {
		o.slot++
		o.slots[o.slot%evidenceSlots] = struct{ broken, served int }{}
	}
}

func (o *outcomes) note(outcome Outcome, now time.Time) {
	o.roll(now)
	switch s := &o.slots[o.slot%evidenceSlots]; outcome {
	case Served:
		s.served++
	case Broken:
		s.broken++
	}
}

// evidence returns the sums.
func (o *outcomes) evidence(key Key, now time.Time) OutcomeStats {
	o.roll(now)
	e := OutcomeStats{Key: key}
	for _, s := range o.slots {
		e.Broken += s.broken
		e.Served += s.served
	}
	if e.Broken > 0 {
		e.Reporters = 1
	}
	return e
}

// damning reports whether the evidence of all gateways speaks for an ejection.
// An upstream that has been ejected and that nobody has had an answer from since
// is judged by its first broken one.
func (e OutcomeStats) damning(unproven bool) bool {
	if unproven {
		return e.Broken > 0
	}
	return e.Broken >= ejectBroken && e.Broken*100 >= ejectShare*(e.Broken+e.Served) && e.Reporters >= ejectReporters
}

// ejection is the time without requests of an upstream that breaks answers.
type ejection struct {
	count int // in a row
	began time.Time
	until time.Time // no requests
	trial time.Time // only requests that may be sent again, until then or the first answer
}

func (e *ejection) eject(now time.Time) {
	if !e.recent(now) {
		e.count = 0
	}
	pause := ejectPause
	for range e.count {
		pause = min(2*pause, ejectPauseMax)
	}
	e.count++
	e.began, e.until, e.trial = now, now.Add(pause), now.Add(pause+trialTime)
}

// recent reports whether the last ejection still counts.
func (e *ejection) recent(now time.Time) bool { return e.count > 0 && now.Sub(e.until) <= ejectMemory }

// evidenceSum adds up evidence by upstream.
type evidenceSum map[Key]OutcomeStats

func sumEvidence(list []OutcomeStats) evidenceSum {
	s := make(evidenceSum)
	s.add(list)
	return s
}

func (s evidenceSum) add(list []OutcomeStats) {
	for _, e := range list {
		sum := s[e.Key]
		s[e.Key] = OutcomeStats{Key: e.Key, Broken: sum.Broken + e.Broken, Served: sum.Served + e.Served,
			Reporters: sum.Reporters + e.Reporters}
	}
}

// ownEvidence returns the own evidence against upstreams. The caller holds the lock.
func (d *Dispatcher) ownEvidence(now time.Time) []OutcomeStats {
	var list []OutcomeStats
	for _, s := range d.upstreams {
		e := s.recent.evidence(s.key, now)
		if e.Broken > 0 || e.Served > 0 && (s.ejection.recent(now) || now.Sub(s.accused) <= evidenceWindow) {
			list = append(list, e)
		}
	}
	return list
}

// ejected is a line for the log: an upstream gets no requests.
type ejected struct {
	upstream string
	OutcomeStats
	ejection
}

// judge ejects upstreams by the evidence of all gateways. The caller holds the
// lock and logs the result without it.
func (d *Dispatcher) judge(now time.Time) []ejected {
	sums := sumEvidence(d.ownEvidence(now))
	for _, p := range d.peers {
		if now.Sub(p.heard) <= evidenceWindow {
			sums.add(p.report.Outcomes)
		}
	}
	for _, g := range d.groups {
		if now.Sub(g.heard) <= evidenceWindow {
			sums.add(g.Outcomes)
		}
	}
	if len(sums) == 0 {
		return nil
	}
	var list []ejected
	for id, s := range d.upstreams {
		e, told := sums[s.key]
		if e.Broken > 0 {
			s.accused = now // what others have had from it counts as well
		}
		if !told || s.ejection.until.After(now) || now.Sub(s.ejection.began) < evidenceAge {
			continue
		}
		if e.Served > 0 {
			s.answers.Store(true)
		}
		if e.damning(s.ejection.recent(now) && !s.answers.Load()) {
			s.ejection.eject(now)
			s.answers.Store(false)
			list = append(list, ejected{id, e, s.ejection})
		}
	}
	return list
}

func (d *Dispatcher) logEjected(list []ejected) {
	for _, e := range list {
		d.cfg.Log.Info().Str("upstream", e.upstream).Int("broken", e.Broken).Int("served", e.Served).Int("reporters", e.Reporters).
			Int("in_row", e.count).Dur("pause", e.until.Sub(e.began)).Msg("upstream ejected")
	}
}

// standing says how far an upstream may be used after an ejection.
type standing uint8

const (
	trusted standing = iota
	onTrial          // by requests that may be sent again, one at a time
	barred           // as a last resort
)

func (u *upstream) standing(now time.Time) standing {
	switch {
	case u.ejection.until.After(now):
		return barred
	case u.ejection.trial.After(now) && !u.answers.Load():
		return onTrial
	}
	return trusted
}

// avoided reports whether an ejection speaks against an upstream for a request
// that may, or may not, be sent again.
func (u *upstream) avoided(repeatable bool, now time.Time) bool {
	switch u.standing(now) {
	case barred:
		return true
	case onTrial:
		return !repeatable || u.online+u.batch > 0
	}
	return false
}

// closeAvoided closes the upstreams of a snapshot that ejections speak against,
// so that requests wait for others rather than break, also for those that are
// full for a moment. If the others, without dead ones, have less than half of the
// slots, the fault is hardly that of single upstreams, and they are only used last.
func closeAvoided(list []placement.Upstream, avoided, dead []bool) {
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
