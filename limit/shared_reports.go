package limit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Merge applies a report of a gateway in this data centre.
func (s *Shared) Merge(from Source, list []Usage, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.hear(s.gateways, from, nil, now)
	s.usageHeard = s.usageHeard || len(list) > 0
	for _, u := range list {
		if a := s.accounts[u.Organisation]; a != nil {
			increase, known := a.update(o, u.Admitted, now)
			if !known && s.uncounted(a, from, now) {
				increase = int64(u.Admitted)
				s.charge(a, increase, now)
			}
			s.apply(a, o, from, u, increase, known, now)
			if increase != 0 {
				a.inDataCentre += uint64(increase)
				a.changed = now
			}
		}
	}
}

// MergeDataCentre applies a report of a collector of another data centre.
func (s *Shared) MergeDataCentre(name string, from Source, list []Usage, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.dataCentres[name]
	if d == nil {
		d = &dataCentre{collectors: make(map[string]*origin)}
		s.dataCentres[name] = d
	}
	o := s.hear(d.collectors, from, d, now)
	s.usageHeard = s.usageHeard || len(list) > 0
	if now.Sub(o.counted) >= collectorReportInterval {
		o.reports++
		o.counted = now
	}
	if d.followed == nil || o != d.followed && (o.reports >= collectorReports || now.Sub(d.followed.heard) > collectorSilence) {
		s.follow(d, o, now)
	}
	if o == d.followed {
		for _, other := range d.collectors {
			other.reports = 0
		}
	}
	for _, u := range list {
		a := s.accounts[u.Organisation]
		if a == nil {
			continue
		}
		increase, known := a.update(o, u.Admitted, now)
		if !known && len(d.collectors) == 1 && o.first && s.uncounted(a, from, now) {
			s.charge(a, int64(u.Admitted), now)
		}
		if o == d.followed {
			s.apply(a, o, from, u, increase, known, now)
		} else if c := a.counters[d.followed]; c != nil {
			a.counters[o].compare(c, now)
		}
	}
}

// uncounted reports whether the first counter of a source that has just started is charged:
// an established process has counted everything before, and one without the state of
// another process counts all requests since the common start.
func (s *Shared) uncounted(a *account, from Source, now time.Time) bool {
	return !from.Established && (s.established(now) || !a.learnt && !a.adopted)
}

// compare sets the offset of a counter to the one that is followed. While requests arrive,
// the counters of two reports are some requests apart.
func (c *counter) compare(followed *counter, now time.Time) {
	unchangedSince := c.increased
	if followed.increased.After(unchangedSince) {
		unchangedSince = followed.increased
	}
	if followed.heard.Sub(unchangedSince) > offsetAge || !c.compared && now.Sub(followed.heard) <= offsetAge {
		c.offset, c.compared = int64(c.value-followed.value), true
	}
}

// follow replaces the followed collector. It charges what the new one has counted beyond
// the last report of the one before. The collectors' counters of the same requests differ
// by an offset, since they began at different times.
func (s *Shared) follow(d *dataCentre, o *origin, now time.Time) {
	before := d.followed
	d.followed = o
	for _, a := range s.accounts {
		c, last := a.counters[o], a.counters[before]
		if c != nil && c.compared && last != nil {
			s.charge(a, int64(c.value-last.value)-c.offset, now)
			last.offset, last.compared = -c.offset, true
		}
	}
}

// hear returns the state of the process that reports.
func (s *Shared) hear(all map[string]*origin, from Source, d *dataCentre, now time.Time) *origin {
	o := all[from.Name]
	if o == nil || o.incarnation != from.Incarnation {
		if o != nil {
			s.forget(o)
		}
		next := &origin{incarnation: from.Incarnation, dataCentre: d, resyncUntil: now, first: o == nil}
		if o != nil && d != nil && d.followed == o {
			d.followed = next
		}
		all[from.Name], o = next, next
	} else if now.Sub(o.heard) > resyncAfter {
		o.resyncUntil = now.Add(resyncTime)
	}
	o.heard = now
	if from.Established {
		if !s.rotated() && now.Sub(s.establishedLast) > establishedGap {
			s.establishedHeard = now
		}
		s.establishedLast = now
	}
	return o
}

// update records the counter of an origin and returns its increase; known is false for
// the first value.
func (a *account) update(o *origin, value uint64, now time.Time) (increase int64, known bool) {
	c := a.counters[o]
	if c == nil {
		a.counters[o] = &counter{value: value, heard: now}
		return 0, false
	}
	increase = int64(value - c.value)
	elapsed := now.Sub(c.heard).Seconds()
	keep := math.Exp(-elapsed / predictionSmoothing.Seconds())
	c.perSecond *= keep
	if elapsed > 0 {
		c.perSecond = max(0, c.perSecond+float64(increase)*(1-keep)/elapsed)
	}
	if increase != 0 {
		c.increased = now
	}
	c.value, c.heard = value, now
	return increase, true
}

// apply charges the increase of a counter. Where the increase is not known or came over
// a silence, it adopts the state of the origin's bucket if more is spent there.
func (s *Shared) apply(a *account, o *origin, from Source, u Usage, increase int64, known bool, now time.Time) {
	// Established processes know more than one with the starting allowance.
	adoptable := from.Established || u.Learnt && !a.learnt
	switch {
	case adoptable && !a.learnt && !a.granted && !a.adopted, from.Established && a.adopted && !a.learnt:
		a.refill(now)
		a.learnt, a.adopted, a.reserved = from.Established, true, 0
		// The bucket began empty, and what this process admitted may be part of spent already.
		a.bucket.spent = min(a.bucket.spent, u.Spent+float64(int64(a.admitted)))
	default:
		if known && !now.Before(o.resyncUntil) {
			s.charge(a, increase, now)
			if !from.Established || a.learnt && s.established(now) {
				return
			}
		}
		if adoptable {
			a.refill(now)
			a.learnt = a.learnt || from.Established
			a.bucket.spent = max(a.bucket.spent, min(u.Spent, a.maxSpent()))
		}
	}
}

// charge takes the tokens of requests that others have admitted.
func (s *Shared) charge(a *account, requests int64, now time.Time) {
	a.refill(now)
	share := s.share(now)
	if a.adopted && !a.learnt && now.Sub(s.started) < startingFor { // the adopted state counts gateways that are not heard yet
		share = 1
	}
	before := a.bucket.spent
	spent := max(0, before+float64(requests)/share)
	a.bucket.spent = max(min(spent, a.maxSpent()), min(spent, before))
	s.reserve(a, a.bucket.spent-before-float64(requests), now)
}

// maxSpent limits what reports of others can charge.
func (a *account) maxSpent() float64 {
	return float64(a.rate.Burst) + maxDebtSeconds*a.rate.PerSecond + maxDebtTokens
}

// Usage returns at most limit entries for a report of this gateway to its data centre:
// organisations that have changed lately, or any if all is set, in rotation.
func (s *Shared) Usage(all bool, limit int, now time.Time) []Usage {
	return s.report(all, limit, now, func(a *account) (uint64, time.Time, *time.Time) { return a.admitted, a.changedHere, &a.reported })
}

// DataCentreUsage returns the same for the sums of this data centre.
func (s *Shared) DataCentreUsage(all bool, limit int, now time.Time) []Usage {
	return s.report(all, limit, now, func(a *account) (uint64, time.Time, *time.Time) {
		return a.inDataCentre, a.changed, &a.reportedToOthers
	})
}

func (s *Shared) report(all bool, limit int, now time.Time, of func(a *account) (value uint64, changed time.Time, reported *time.Time)) []Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	var hashes []uint32
	for hash, a := range s.accounts {
		_, changed, reported := of(a)
		if !a.removed.IsZero() {
			continue
		}
		if all || changed.After(*reported) || now.Sub(changed) < changedFor && now.Sub(*reported) >= repeatInterval {
			hashes = append(hashes, hash)
		}
	}
	slices.SortFunc(hashes, func(x, y uint32) int {
		_, _, a := of(s.accounts[x])
		_, _, b := of(s.accounts[y])
		return cmp.Or(a.Compare(*b), cmp.Compare(x, y))
	})
	var list []Usage
	for _, hash := range hashes[:min(len(hashes), max(limit, 0))] {
		a := s.accounts[hash]
		a.refill(now)
		value, _, reported := of(a)
		*reported = now
		list = append(list, Usage{Organisation: hash, Admitted: value, Spent: max(0, a.bucket.spent-a.reserved), Learnt: a.learnt || a.granted || a.adopted || s.established(now)})
	}
	return list
}
