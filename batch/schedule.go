package batch

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/metric"
	"github.com/magnoliausher/magnoliausher/pause"
)

const (
	// scheduleInterval is how often waiting items are scheduled even if no event
	// reported a free slot.
	scheduleInterval = 50 * time.Millisecond
	// startInterval is the minimum time between two scheduling rounds.
	startInterval = 40 * time.Millisecond
	// withheldAfter is how long the items of a service wait without a start before that
	// is logged, and the time between two lines.
	withheldAfter = 2 * time.Second
)

// runScheduler assigns waiting items to free slots until ctx ends.
func (s *Service) runScheduler(ctx context.Context) error {
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
		// Most other gateways receive the report of one round before the next begins.
		if !pause.For(ctx, max(startInterval, s.cfg.Dispatcher.PropagationDelay()*2/3)) {
			return nil
		}
	}
}

// candidate is a waiting item with its priority.
type candidate struct {
	job      *runningJob
	item     *runningItem
	priority ItemPriority
}

// startItems starts this gateway's share of the items that free slots allow.
func (s *Service) startItems() {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.startableItems(now)
	waiting := len(list)
	// The backlog is reported after the starts, since peers divide the remaining
	// slots by it.
	defer func() { s.cfg.Dispatcher.SetBacklog(waiting) }()
	slices.SortFunc(list, func(a, b candidate) int { return CompareItems(a.priority, b.priority) })
	shares := make(map[string]int) // remaining starts, by service
	for i, c := range list {
		service, reason := s.targetService(c, now)
		if reason != "" {
			waiting--
			s.finishItem(c.job, c.item, Result{Abandoned: true}, reason)
			continue
		}
		share, set := shares[service]
		if !set {
			share = s.cfg.Dispatcher.BatchStartQuota(service, len(list)-i)
		}
		if share > 0 && s.startItem(c, service) {
			share--
			waiting--
			delete(s.withheldSince, service)
		} else {
			share = 0 // items of other services may still start
			s.reportWithheld(c, service, now)
		}
		shares[service] = share
	}
	maps.DeleteFunc(s.withheldSince, func(service string, _ time.Time) bool {
		_, waits := shares[service]
		return !waits
	})
}

// reportWithheld logs that no item of a service has started for withheldAfter, although
// the candidate waits. The caller holds s.mu.
func (s *Service) reportWithheld(c candidate, service string, now time.Time) {
	since, known := s.withheldSince[service]
	if !known {
		s.withheldSince[service] = now
	}
	if !known || now.Sub(since) < withheldAfter {
		return
	}
	s.withheldSince[service] = now
	room := s.cfg.Dispatcher.RoomForBatch(service)
	metric.BatchWithheld(service)
	s.cfg.Log.Info().Str("job", c.job.submission.ID).Str("request", c.job.submission.Items[c.item.index].ID).Str("service", service).
		Int("upstreams", room.Upstreams).Int("slots", room.Slots).Int("free_slots", room.Free).Int("reserved", room.Reserved).
		Msg("no item has started")
}

// startItem starts an attempt at an item if its service has a free slot, and
// reports whether it did.
func (s *Service) startItem(c candidate, service string) bool {
	grant := s.cfg.Dispatcher.TryAcquireBatch(service)
	if grant == nil {
		return false
	}
	c.item.state = itemActive
	c.job.activeItems.Add(1)
	go s.runItem(c.job, c.item, grant)
	return true
}

// startableItems returns the waiting items that may start now. The caller holds s.mu.
func (s *Service) startableItems(now time.Time) []candidate {
	var list []candidate
	if s.stopping || s.cfg.Holder.View().Configuration == nil {
		return nil // without a configuration the target services are unknown
	}
	for _, r := range s.running {
		created := r.row.Job().Created
		for i := range r.items {
			ri := &r.items[i]
			if ri.state == itemWaiting && !ri.notBefore.After(now) {
				list = append(list, candidate{r, ri, s.itemPriority(r, ri, created, now)})
			}
		}
	}
	return list
}

// itemPriority returns the priority of an item of a job created at a Unix time in ms.
// The caller holds s.mu.
func (s *Service) itemPriority(r *runningJob, ri *runningItem, created int64, now time.Time) ItemPriority {
	priority := ItemPriority{Created: created, Events: ri.events()}
	if route := s.itemRoute(r, ri); route != nil && route.CompletionObjective > 0 {
		due := time.UnixMilli(created).Add(route.CompletionObjective)
		priority.Late = now.Add(s.pace.remaining(priority.Events)).After(due)
	}
	return priority
}

// ItemPriority determines the order in which waiting items start.
type ItemPriority struct {
	Created int64 // creation time of its job, Unix ms
	Late    bool  // the item can no longer meet the completion objective of its route
	Events  int   // number of events received
}

// CompareItems returns a negative number if a starts before b. Items that can
// still complete in time come first, so that a backlog delays only its own jobs.
// Among them, items of the oldest job come first, since it is due first; within a
// job, the item with the most events. The order matters when there are more jobs
// than the free slots can complete in time, as after an outage or a burst.
func CompareItems(a, b ItemPriority) int {
	if a.Late != b.Late {
		if a.Late {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(a.Created, b.Created), cmp.Compare(b.Events, a.Events))
}

// paceEstimate estimates how fast items are generated, from exponentially
// weighted means of recent attempts.
type paceEstimate struct {
	eventInterval time.Duration // mean time between events
	itemEvents    float64       // mean number of events per item
}

const (
	// initialEventInterval and initialItemEvents are the estimate before any item has
	// completed.
	initialEventInterval = 30 * time.Millisecond
	initialItemEvents    = 100
	// paceSmoothing is the inverse of the weight of a new sample in the means.
	paceSmoothing = 16
	// paceMinEvents is the minimum number of events for an attempt to count as a sample.
	paceMinEvents = 8
)

// recordAttempt adds the duration and the event count of an attempt to the estimate.
func (p *paceEstimate) recordAttempt(duration time.Duration, events int) {
	if events >= paceMinEvents {
		p.eventInterval += (duration/time.Duration(events) - p.eventInterval) / paceSmoothing
	}
}

// recordItem adds the event count of a finished item to the estimate.
func (p *paceEstimate) recordItem(events int) {
	p.itemEvents += (float64(events) - p.itemEvents) / paceSmoothing
}

// remaining estimates the time that an item with eventsDone events still needs on
// an upstream.
func (p *paceEstimate) remaining(eventsDone int) time.Duration {
	return time.Duration(max(p.itemEvents-float64(eventsDone), 0) * float64(p.eventInterval))
}

// Reasons for abandoning an item without an attempt.
const (
	abandonRouteRemoved = "route_removed"
	abandonRetention    = "retention"
)

// clockSkewAllowance is added to the retention, since the clock of the gateway that
// accepted the job may differ from the local clock by seconds.
const clockSkewAllowance = 10 * time.Second

// targetService returns the service that the active configuration routes an item
// to, or the reason for abandoning the item.
func (s *Service) targetService(c candidate, now time.Time) (service, reason string) {
	route := s.itemRoute(c.job, c.item)
	switch {
	case route == nil:
		return "", abandonRouteRemoved
	case route.Retention > 0 && jobAge(c.job.row.Job(), now) > route.Retention+clockSkewAllowance:
		return "", abandonRetention
	}
	return route.ServiceFor(c.job.submission.Items[c.item.index].ID), ""
}

// itemRoute returns the route of an item in the active configuration, or nil.
func (s *Service) itemRoute(r *runningJob, ri *runningItem) *fleet.Route {
	return s.cfg.Holder.View().Configuration.Match(r.submission.Host, r.submission.Items[ri.index].Target)
}
