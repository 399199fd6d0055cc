package dispatch

import (
	"math"
	"time"

	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/placement"
)

const (
	// serviceDecay is the time constant with which requests served earlier lose weight in
	// the usage of an organisation. It is about the time that a request takes, so that a
	// request counts for about as long after its end as during it.
	serviceDecay = time.Second
	// negligibleService is the weight of earlier requests below which an organisation
	// without requests in progress is forgotten.
	negligibleService = 0.01
)

// share is what an organisation uses of a service through this gateway.
type share struct {
	inProgress int
	served     float64 // requests started lately, weighted by serviceDecay
	updated    time.Time
}

func (s *share) servedAt(now time.Time) float64 {
	return s.served * math.Exp(-now.Sub(s.updated).Seconds()/serviceDecay.Seconds())
}

// begin records that a request of an organisation starts. d.mu must be held.
func (q *queue) begin(organisation string, now time.Time) *share {
	s := q.shares[organisation]
	if s == nil {
		s = &share{}
		q.shares[organisation] = s
	}
	s.served, s.updated = s.servedAt(now)+1, now
	s.inProgress++
	return s
}

// usage returns the function that says how much of a service an organisation uses: its
// requests in progress at all gateways and those that started here lately. Requests at
// other gateways are known for all services together; they are assumed to be spread over
// the services in proportion to slots. d.mu must be held.
func (d *Dispatcher) usage(q *queue, service string, now time.Time) func(organisation string) float64 {
	remotePart := d.remotePart(service)
	return func(organisation string) float64 {
		used := remotePart * float64(d.remoteShares[KeyOf(organisation)])
		if s := q.shares[organisation]; s != nil {
			used += float64(s.inProgress) + s.servedAt(now)
		}
		return used
	}
}

// remotePart returns the part of a service in the requests in progress that other
// gateways report.
func (d *Dispatcher) remotePart(service string) float64 {
	if len(d.remoteShares) == 0 {
		return 0
	}
	slots, all := 0, 0
	for name := range d.queues {
		n := d.slots(name)
		all += n
		if name == service {
			slots = n
		}
	}
	return float64(slots) / float64(max(all, 1))
}

// hasOrganisations reports whether requests of organisations use the service. d.mu must
// be held.
func (q *queue) hasOrganisations() bool {
	_, anonymous := q.shares[""]
	return len(q.shares) > 1 || len(q.shares) == 1 && !anonymous
}

// tellsContention reports whether starts and releases on the last slots are told to peers
// at once. In larger data centres reports are coalesced for longer, so that a gateway does
// not handle more of them than it can, which urgent ones would undo. d.mu must be held.
func (d *Dispatcher) tellsContention(q *queue) bool {
	return q.hasOrganisations() && ReportInterval(len(d.peers)) == minReportInterval
}

// isUrgent reports whether peers must learn of a request on an upstream at once: they
// preempt batch work, or requests of organisations contend for the last slots and too
// many would queue at the upstream. d.mu must be held.
func (d *Dispatcher) isUrgent(q *queue, u *fleet.Upstream) bool {
	if !d.tellsContention(q) {
		return d.exceedsSlots(u)
	}
	online, _ := d.totalLoad(d.upstreamFor(u))
	return online >= u.Slots-1 || d.exceedsSlots(u)
}

// queueUse says whether the request that is served next may queue at an upstream. Where
// requests of organisations wait, those queues are kept for organisations within their
// share, which need not wait then until a slot of this gateway frees. d.mu must be held.
func (d *Dispatcher) queueUse(q *queue, r *Request, now time.Time) placement.QueueUse {
	if r.Organisation == "" && !q.hasOrganisations() {
		return placement.QueueIfContended
	}
	remotePart := d.remotePart(r.Service)
	used := func(name string) float64 {
		n := remotePart * float64(d.remoteShares[KeyOf(name)])
		if s := q.shares[name]; s != nil {
			n += float64(s.inProgress)
		}
		return n
	}
	waiting := q.waiters.Organisations()
	var demands []float64
	capacity := 0.0
	for name := range q.shares {
		capacity += used(name)
		if waiting[name] == 0 && name != r.Organisation {
			demands = append(demands, used(name))
		}
	}
	for name, n := range waiting {
		if q.shares[name] == nil {
			capacity += used(name)
		}
		demands = append(demands, used(name)+float64(n))
	}
	if waiting[r.Organisation] == 0 { // the request is not queued
		demands = append(demands, used(r.Organisation)+1)
	}
	if used(r.Organisation)+1 <= placement.FairLevel(demands, capacity) && r.Objective.After(now) {
		return placement.QueueAllowed
	}
	return placement.QueueForbidden
}

// OrganisationLoads returns the online requests that this gateway has in progress, by the
// keys of organisations. Anonymous requests count as those of an organisation without a
// name. It returns nil if no request has belonged to an organisation lately.
func (d *Dispatcher) OrganisationLoads() map[Key]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	loads, known := make(map[Key]int), false
	for _, q := range d.queues {
		for name, s := range q.shares {
			known = known || name != ""
			if s.inProgress > 0 {
				loads[KeyOf(name)] += s.inProgress
			}
		}
	}
	if !known {
		return nil
	}
	return loads
}

// SetRemoteOrganisationLoads sets the online requests that all other gateways have in
// progress, by the keys of organisations. Without it, requests are shared by what this
// gateway alone knows. The map must not be changed afterwards.
func (d *Dispatcher) SetRemoteOrganisationLoads(loads map[Key]int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.remoteShares = loads
}

// expireShares forgets organisations without requests. d.mu must be held.
func (d *Dispatcher) expireShares(now time.Time) {
	for _, q := range d.queues {
		for name, s := range q.shares {
			if s.inProgress == 0 && s.servedAt(now) < negligibleService {
				delete(q.shares, name)
			}
		}
	}
}
