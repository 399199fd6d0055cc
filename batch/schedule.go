package batch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/pause"
)

const (
	// scheduleInterval is how often waiting items are offered although no event
	// told of a free slot.
	scheduleInterval = 50 * time.Millisecond
	// startInterval is the least time between two rounds of starts.
	startInterval = 40 * time.Millisecond
)

// schedule offers waiting items to free slots until ctx ends.
func (s *Service) schedule(ctx context.Context) error {
	ticker := time.NewTicker(scheduleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		case <-s.cfg.Dispatcher.BatchWake():
		case <-ticker.C:
		}
		s.startItems()
		// Most other gateways have heard of one round before the next.
		if !pause.For(ctx, max(startInterval, s.cfg.Dispatcher.PropagationDelay()*2/3)) {
			return nil
		}
	}
}

// candidate is a waiting item with what decides its place.
type candidate struct {
	job  *running
	item *work
	view ItemPriority
}

// startItems starts this gateway's share of the items that there are slots for.
func (s *Service) startItems() {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.waiting(now)
	waiting := len(list)
	// Reported after the starts, since peers divide what is left by it.
	defer func() { s.cfg.Dispatcher.SetBacklog(waiting) }()
	slices.SortFunc(list, func(a, b candidate) int { return CompareItems(a.view, b.view) })
	shares := make(map[string]int) // starts left, by service
	for i, c := range list {
		service, end := s.service(c, now)
		if end != "" {
			waiting--
			s.finish(c.job, c.item, Result{Abandoned: true}, end)
			continue
		}
		share, set := shares[service]
		if !set {
			share = s.cfg.Dispatcher.BatchStartQuota(service, len(list)-i)
		}
		if share > 0 && s.start(c, service) {
			share--
			waiting--
		} else {
			share = 0 // the items of other services may still start
		}
		shares[service] = share
	}
}

// start begins an attempt of an item if its service has a free slot.
func (s *Service) start(c candidate, service string) bool {
	grant := s.cfg.Dispatcher.TryAcquireBatch(service)
	if grant == nil {
		return false
	}
	c.item.state = itemActive
	c.job.active.Add(1)
	go s.runItem(c.job, c.item, grant)
	return true
}

// waiting returns the items that may start now.
func (s *Service) waiting(now time.Time) []candidate {
	var list []candidate
	if s.stopping || s.cfg.Holder.View().Configuration == nil {
		return nil // without a configuration it is not known where items may go
	}
	for _, r := range s.running {
		for i := range r.items {
			w := &r.items[i]
			if w.state == itemWaiting && !w.notBefore.After(now) {
				list = append(list, candidate{r, w, s.itemView(r, w, now)})
			}
		}
	}
	return list
}

// itemView describes an item. The caller holds the lock.
func (s *Service) itemView(r *running, w *work, now time.Time) ItemPriority {
	v := ItemPriority{Created: r.job.Created, Events: w.events()}
	if route := s.route(r, w); route != nil && route.CompletionObjective > 0 {
		due := time.UnixMilli(r.job.Created).Add(route.CompletionObjective)
		v.Late = now.Add(s.pace.remaining(v.Events)).After(due)
	}
	return v
}

// ItemPriority is what decides the place of a waiting item.
type ItemPriority struct {
	Created int64 // of its job, Unix ms
	Late    bool  // it cannot be done any more by the time that its route promises
	Events  int   // events that it has had
}

// CompareItems returns a negative number if a is started before b: items that
// can still be in time come first, so that a backlog makes only its own jobs
// late; then those of the oldest job, which is due first; in a job, the one that
// has got furthest. The load it answers: more jobs than the free slots can do in
// time, as after an outage or a burst.
func CompareItems(a, b ItemPriority) int {
	if a.Late != b.Late {
		if a.Late {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(a.Created, b.Created), cmp.Compare(b.Events, a.Events))
}

// pace is how fast items have been generated lately.
type pace struct {
	event  time.Duration // mean time between two events
	events float64       // mean number of an item's events
}

const (
	// firstEventTime and firstEvents stand for the pace until items have been done.
	firstEventTime = 30 * time.Millisecond
	firstEvents    = 100
	// paceWeight is the weight of a new sample in the means, as 1/n.
	paceWeight = 16
	// paceEvents is the least number of events of an attempt that tells the pace.
	paceEvents = 8
)

// attempted takes an attempt into account that took so long for so many events.
func (p *pace) attempted(took time.Duration, events int) {
	if events >= paceEvents {
		p.event += (took/time.Duration(events) - p.event) / paceWeight
	}
}

// done takes a finished item into account.
func (p *pace) done(events int) {
	p.events += (float64(events) - p.events) / paceWeight
}

// remaining estimates the time that an item needs on an upstream.
func (p *pace) remaining(had int) time.Duration {
	return time.Duration(max(p.events-float64(had), 0) * float64(p.event))
}

// Reasons to give an item up without an attempt.
const (
	endRouteRemoved = "route_removed"
	endRetention    = "retention"
)

// retentionSlack is added to the retention, since the clock of the gateway that
// accepted the job may differ from the own one by seconds.
const retentionSlack = 10 * time.Second

// service returns the service that the configuration in force sends an item
// to, or the reason why it is given up.
func (s *Service) service(c candidate, now time.Time) (service, end string) {
	route := s.route(c.job, c.item)
	switch {
	case route == nil:
		return "", endRouteRemoved
	case route.Retention > 0 && age(&c.job.job, now) > route.Retention+retentionSlack:
		return "", endRetention
	}
	return route.ServiceFor(c.job.submission.Items[c.item.index].ID), ""
}

// route returns the route of an item in the configuration in force, or nil.
func (s *Service) route(r *running, w *work) *fleet.Route {
	return s.cfg.Holder.View().Configuration.Match(r.submission.Host, r.submission.Items[w.index].Target)
}
