package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/magnoliausher/magnoliausher/placement"
)

const (
	// minReportInterval is the time over which reports to the own data centre are merged.
	// With more members than nearMembers it grows, so that a gateway sends and
	// receives no more than about a thousand reports a second.
	minReportInterval  = 15 * time.Millisecond
	minIntervalMembers = 16
	// DigestInterval is the time over which reports between data centres are merged.
	DigestInterval = 20 * time.Millisecond
	// deliveryDelay is what a report takes beside the merging: its way and the work at both ends.
	deliveryDelay = 4 * time.Millisecond
	// rateWindow is the time over which arrivals are counted; traffic can double
	// within a second.
	rateWindow = 250 * time.Millisecond
)

// ReportInterval returns the time over which a gateway merges its reports to so
// many others of its data centre.
func ReportInterval(members int) time.Duration {
	return max(minReportInterval, minReportInterval*time.Duration(members)/minIntervalMembers)
}

// lags returns the mean ages of what is known of other gateways, with so many
// in the own data centre. Reports from others pass two collectors.
func lags(near int) (nearLag, farLag time.Duration) {
	merged := ReportInterval(near) / 2
	nearLag = merged + deliveryDelay
	return nearLag, nearLag + DigestInterval/2 + merged
}

// PropagationDelay is the time after which most other gateways have heard of what this
// one does. Shares of what is free hold for as long.
func (d *Dispatcher) PropagationDelay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.propagationDelay()
}

func (d *Dispatcher) propagationDelay() time.Duration {
	_, far := lags(d.localPeers())
	return 2 * far
}

// localPeers returns how many other gateways of the own data centre are known. The
// caller holds the lock.
func (d *Dispatcher) localPeers() int {
	n := 0
	for _, p := range d.peers {
		if p.report.DataCentre == d.cfg.DataCentre {
			n++
		}
	}
	return n
}

// arrivals counts online requests over the last one to two windows.
type arrivals struct {
	windowStart       time.Time // of the present window
	current, previous int
	hasPrevious       bool
}

func (a *arrivals) record(now time.Time) {
	a.advance(now)
	a.current++
}

func (a *arrivals) advance(now time.Time) {
	switch passed := now.Sub(a.windowStart); {
	case passed >= 2*rateWindow:
		*a = arrivals{windowStart: now, hasPrevious: true}
	case passed >= rateWindow:
		*a = arrivals{windowStart: a.windowStart.Add(rateWindow), previous: a.current, hasPrevious: true}
	}
}

// rate returns requests a second.
func (a *arrivals) rate(now time.Time) float64 {
	a.advance(now)
	span := now.Sub(a.windowStart)
	if a.hasPrevious {
		span += rateWindow
	}
	return float64(a.current+a.previous) / max(span, rateWindow).Seconds()
}

// contention estimates what other gateways will place before this one hears of
// it. They get about as many requests as this one. The caller holds the lock.
func (d *Dispatcher) contention(q *queue, now time.Time) placement.Contention {
	near := d.localPeers()
	far := len(d.peers) - near
	for _, g := range d.dataCentres {
		far += g.Gateways
	}
	rate := q.arrivals.rate(now)
	nearLag, farLag := lags(near)
	c := placement.Contention{Local: rate * float64(near) * nearLag.Seconds()}
	c.All = c.Local + rate*float64(far)*farLag.Seconds()
	return c
}

// waitingAtPeers returns the online requests that wait at other gateways.
func (d *Dispatcher) waitingAtPeers(service string) int {
	waiting := 0
	key := KeyOf(service)
	for _, p := range d.peers {
		waiting += p.report.Waiting[key]
	}
	for _, g := range d.dataCentres {
		waiting += g.Waiting[key]
	}
	return waiting
}

// mayStart reports whether a request may take a slot. While others wait at
// other gateways it may for each own request that has ended, and for a share of
// the room that is computed anew in each interval. The caller holds the lock.
func (d *Dispatcher) mayStart(q *queue, service string, now time.Time) bool {
	elsewhere := d.waitingAtPeers(service)
	if elsewhere == 0 {
		return true
	}
	if now.Sub(q.quotaTime) >= d.propagationDelay() {
		q.quotaTime = now
		list := d.snapshot(d.cfg.Holder.View().Usable(service), true, now)
		waiting := max(len(q.waiters), 1)
		q.startQuota = placement.OnlineStartQuota(list, waiting, waiting+elsewhere, rand.Float64())
	}
	return q.startQuota > 0
}
