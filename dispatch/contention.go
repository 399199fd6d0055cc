package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/magnoliausher/magnoliausher/placement"
)

const (
	// nearLag and farLag are the mean ages of what is known of other gateways.
	// Reports are merged over 15 ms in a data centre. Between data centres they pass
	// two collectors, which merge them over 20 and 15 ms. Each way takes a millisecond.
	nearLag = 12 * time.Millisecond
	farLag  = 30 * time.Millisecond
	// rateWindow is the time over which arrivals are counted; traffic can double
	// within a second.
	rateWindow = 250 * time.Millisecond
	// startsInterval is the time for which a share of the room holds: until most
	// gateways in other data centres have heard of what was taken.
	startsInterval = 60 * time.Millisecond
)

// arrivals counts online requests over the last one to two windows.
type arrivals struct {
	began          time.Time // of the present window
	present, past  int
	pastWasCounted bool
}

func (a *arrivals) note(now time.Time) {
	a.roll(now)
	a.present++
}

func (a *arrivals) roll(now time.Time) {
	switch passed := now.Sub(a.began); {
	case passed >= 2*rateWindow:
		*a = arrivals{began: now, pastWasCounted: true}
	case passed >= rateWindow:
		*a = arrivals{began: a.began.Add(rateWindow), past: a.present, pastWasCounted: true}
	}
}

// rate returns requests a second.
func (a *arrivals) rate(now time.Time) float64 {
	a.roll(now)
	span := now.Sub(a.began)
	if a.pastWasCounted {
		span += rateWindow
	}
	return float64(a.present+a.past) / max(span, rateWindow).Seconds()
}

// contention estimates what other gateways will place before this one hears of
// it. They get about as many requests as this one. The caller holds the lock.
func (d *Dispatcher) contention(q *queue, now time.Time) placement.Contention {
	near, far := 0, 0
	for _, p := range d.peers {
		if p.report.DataCentre == d.cfg.DataCentre {
			near++
		} else {
			far++
		}
	}
	for _, g := range d.groups {
		far += g.Gateways
	}
	rate := q.arrivals.rate(now)
	c := placement.Contention{Near: rate * float64(near) * nearLag.Seconds()}
	c.All = c.Near + rate*float64(far)*farLag.Seconds()
	return c
}

// waitingElsewhere returns the online requests that wait at other gateways.
func (d *Dispatcher) waitingElsewhere(service string) int {
	waiting := 0
	key := KeyOf(service)
	for _, p := range d.peers {
		waiting += p.report.Waiting[key]
	}
	for _, g := range d.groups {
		waiting += g.Waiting[key]
	}
	return waiting
}

// mayStart reports whether a request may take a slot. While others wait at
// other gateways it may for each own request that has ended, and for a share of
// the room that is computed anew in each interval. The caller holds the lock.
func (d *Dispatcher) mayStart(q *queue, service string, now time.Time) bool {
	elsewhere := d.waitingElsewhere(service)
	if elsewhere == 0 {
		return true
	}
	if now.Sub(q.shared) >= startsInterval {
		q.shared = now
		list := d.snapshot(d.cfg.Holder.View().Usable(service), true, now)
		waiting := max(len(q.waiters), 1)
		q.starts = placement.OnlineStarts(list, waiting, waiting+elsewhere, rand.Float64())
	}
	return q.starts > 0
}
