package dispatch

import (
	"time"

	"github.com/magnoliausher/magnoliausher/placement"
)

const (
	// minReportInterval is the interval at which reports to the local data centre are
	// coalesced. It grows with more members than minIntervalMembers, so that a gateway
	// sends and receives at most about a thousand reports a second.
	minReportInterval  = 15 * time.Millisecond
	minIntervalMembers = 16
	// DigestInterval is the interval at which reports between data centres are
	// coalesced.
	DigestInterval = 20 * time.Millisecond
	// deliveryDelay is the time that a report takes in addition to coalescing: network
	// delay and processing at both ends.
	deliveryDelay = 4 * time.Millisecond
	// rateWindow is the window over which arrivals are counted. It is short because
	// traffic can double within a second.
	rateWindow = 250 * time.Millisecond
)

// ReportInterval returns the interval at which a gateway coalesces its reports to
// the given number of other gateways in its data centre.
func ReportInterval(members int) time.Duration {
	return max(minReportInterval, minReportInterval*time.Duration(members)/minIntervalMembers)
}

// lags returns the mean ages of the reports from gateways in the local data centre,
// given their number, and from remote ones. Two collectors relay the latter.
func lags(localPeers int) (localLag, remoteLag time.Duration) {
	coalescing := ReportInterval(localPeers) / 2
	localLag = coalescing + deliveryDelay
	return localLag, localLag + DigestInterval/2 + coalescing
}

// PropagationDelay returns the time after which most other gateways know of a change
// at this one. Start quotas are valid for as long.
func (d *Dispatcher) PropagationDelay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.propagationDelay()
}

func (d *Dispatcher) propagationDelay() time.Duration {
	_, remoteLag := lags(d.localPeers())
	return 2 * remoteLag
}

// localPeers returns the number of other known gateways in the local data centre.
// d.mu must be held.
func (d *Dispatcher) localPeers() int {
	n := 0
	for _, p := range d.peers {
		if p.report.DataCentre == d.cfg.DataCentre {
			n++
		}
	}
	return n
}

// arrivals counts online requests in the current and the previous window.
type arrivals struct {
	windowStart       time.Time // start of the current window
	current, previous int
	hasPrevious       bool
}

func (a *arrivals) record(now time.Time) {
	a.advance(now)
	a.current++
}

func (a *arrivals) advance(now time.Time) {
	switch elapsed := now.Sub(a.windowStart); {
	case elapsed >= 2*rateWindow:
		*a = arrivals{windowStart: now, hasPrevious: true}
	case elapsed >= rateWindow:
		*a = arrivals{windowStart: a.windowStart.Add(rateWindow), previous: a.current, hasPrevious: true}
	}
}

// rate returns the arrival rate in requests per second.
func (a *arrivals) rate(now time.Time) float64 {
	a.advance(now)
	span := now.Sub(a.windowStart)
	if a.hasPrevious {
		span += rateWindow
	}
	return float64(a.current+a.previous) / max(span, rateWindow).Seconds()
}

// contention estimates how many requests other gateways will place before their
// reports arrive here. It assumes that each gateway receives requests at the same
// rate. d.mu must be held.
func (d *Dispatcher) contention(q *queue, now time.Time) placement.Contention {
	local := d.localPeers()
	remote := len(d.peers) - local
	for _, g := range d.dataCentres {
		remote += g.Gateways
	}
	rate := q.arrivals.rate(now)
	localLag, remoteLag := lags(local)
	c := placement.Contention{Local: rate * float64(local) * localLag.Seconds()}
	c.All = c.Local + rate*float64(remote)*remoteLag.Seconds()
	return c
}

// waitingAtPeers returns the number of online requests waiting at other gateways.
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

// mayStart reports whether a request may take a slot. While requests wait at other
// gateways, the start quota limits it: the quota grows by one for each local online
// request that ends, and is reset to this gateway's share of the free capacity after
// each propagation delay. d.mu must be held.
func (d *Dispatcher) mayStart(q *queue, service string, now time.Time) bool {
	atPeers := d.waitingAtPeers(service)
	if atPeers == 0 {
		return true
	}
	if now.Sub(q.quotaTime) >= d.propagationDelay() {
		q.quotaTime = now
		list := d.snapshot(d.cfg.Holder.View().Usable(service), true, now)
		waiting := max(q.waiters.Len(), 1)
		q.startQuota = placement.OnlineStartQuota(list, waiting, waiting+atPeers, d.cfg.Random.Float64())
	}
	return q.startQuota > 0
}
