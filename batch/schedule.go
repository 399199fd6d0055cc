package batch

import (
	"cmp"
	"context"
	"iter"
	"maps"
	"math"
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
	job          *runningJob
	item         *runningItem
	organisation string
	priority     ItemPriority
	due          time.Time // by the completion objective of its route; zero without one
}

// serviceItems is the waiting items of a service, and the numbers of those in progress by
// organisation.
type serviceItems struct {
	waiting []candidate
	active  map[string]int
}

// startItems starts this gateway's share of the items that free slots allow.
func (s *Service) startItems() {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	services := s.startableItems(now)
	backlog := make(map[string]int)
	// The backlog is reported after the starts, since peers divide the remaining
	// slots by it.
	defer func() { s.cfg.Dispatcher.SetBacklog(backlog) }()
	for service, items := range services {
		if len(items.waiting) == 0 {
			delete(s.withheldSince, service)
			continue
		}
		backlog[service] = len(items.waiting)
		share := s.cfg.Dispatcher.BatchStartQuota(service, len(items.waiting))
		for c := range byTurns(items.waiting, items.active) {
			if share <= 0 {
				s.reportWithheld(c, service, now)
				break
			}
			accepts := s.upstreamsFor(c, service)
			if !s.startItem(c, service, s.isShortOfTime(c, now), accepts) {
				s.reportWithheld(c, service, now)
				if accepts != nil {
					continue // other items may run where this one may not
				}
				break
			}
			share--
			backlog[service]--
			delete(s.withheldSince, service)
		}
	}
	maps.DeleteFunc(s.withheldSince, func(service string, _ time.Time) bool { return services[service] == nil })
}

// byTurns yields waiting items in the order in which they start: the next one is of the
// organisation with the fewest items in progress, so that one with many jobs delays its own
// only. Organisations with as many, and the items of each, follow CompareItems. The counts
// include the items yielded before.
func byTurns(waiting []candidate, active map[string]int) iter.Seq[candidate] {
	compare := func(a, b candidate) int { return CompareItems(a.priority, b.priority) }
	slices.SortFunc(waiting, compare)
	queues := make(map[string][]candidate)
	for _, c := range waiting {
		queues[c.organisation] = append(queues[c.organisation], c)
	}
	taken := make(map[string]int)
	return func(yield func(candidate) bool) {
		for range waiting {
			var next candidate
			fewest := math.MaxInt
			for organisation, queue := range queues {
				n := active[organisation] + taken[organisation]
				if n < fewest || n == fewest && compare(queue[0], next) < 0 {
					next, fewest = queue[0], n
				}
			}
			taken[next.organisation]++
			if queues[next.organisation] = queues[next.organisation][1:]; len(queues[next.organisation]) == 0 {
				delete(queues, next.organisation)
			}
			if !yield(next) {
				return
			}
		}
	}
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

// shortOfTimePercent is the percentage of the time that an item usually takes up to
// which it is short of time. Slow upstreams have half the usual speed.
const shortOfTimePercent = 200

// isShortOfTime reports whether an item that can be in time would be late at a slow
// upstream. The caller holds s.mu.
func (s *Service) isShortOfTime(c candidate, now time.Time) bool {
	if c.due.IsZero() || c.priority.Late {
		return false
	}
	return now.Add(s.pace.remaining(c.priority.Events) * shortOfTimePercent / 100).After(c.due)
}

// breaksToStartOver is the number of attempts in a row without a new event after which an
// item starts over if that can be at another software version.
const breaksToStartOver = 3

// upstreamsFor returns the upstreams that can go on with an item, nil for all of its
// service. An item that no upstream in use can go on with, or that may come from two
// software versions, starts over. The caller holds s.mu.
func (s *Service) upstreamsFor(c candidate, service string) func(*fleet.Upstream) bool {
	view, accepts := s.cfg.Holder.View(), c.item.resumableAt()
	if accepts == nil {
		return nil
	}
	accepting, usable := 0, view.Usable(service)
	for _, u := range usable {
		if accepts(u) {
			accepting++
		}
	}
	stuck := c.item.brokenInRow >= breaksToStartOver && accepting < len(usable)
	doubtful := c.item.doubtful(view)
	if accepting > 0 && !stuck && !doubtful {
		if accepting == len(usable) {
			return nil // the order of items holds, also of those that wait for a fast upstream
		}
		return accepts
	}
	s.cfg.Log.Info().Str("job", c.job.submission.ID).Str("request", c.job.submission.Items[c.item.index].ID).Str("service", service).
		Int("events", c.item.events()).Int("upstreams", accepting).Int("broken", c.item.brokenInRow).Bool("doubtful", doubtful).
		Msg("no upstream can go on with the item; it starts over")
	c.item.reset(0)
	return nil
}

// startItem starts an attempt at an item if an upstream that accepts permits has a free
// slot, and reports whether it did. An item that is short of time goes to a fast upstream.
func (s *Service) startItem(c candidate, service string, shortOfTime bool, accepts func(*fleet.Upstream) bool) bool {
	acquire := s.cfg.Dispatcher.TryAcquireBatch
	if shortOfTime {
		acquire = s.cfg.Dispatcher.TryAcquireUrgentBatch
	}
	grant := acquire(service, accepts)
	if grant == nil {
		return false
	}
	c.item.state, c.item.service = itemActive, service
	c.job.activeItems.Add(1)
	go s.runItem(c.job, c.item, grant)
	return true
}

// startableItems returns the waiting items that may start now and counts those in
// progress, by service. It abandons items that are not to run any more. The caller holds
// s.mu.
func (s *Service) startableItems(now time.Time) map[string]*serviceItems {
	if s.stopping {
		return nil
	}
	services := make(map[string]*serviceItems)
	itemsOf := func(service string) *serviceItems {
		if services[service] == nil {
			services[service] = &serviceItems{active: make(map[string]int)}
		}
		return services[service]
	}
	for _, r := range s.running {
		job := r.row.Job()
		t, decidable := s.termsOf(r)
		for i := range r.items {
			ri := &r.items[i]
			switch {
			case ri.state == itemActive:
				itemsOf(ri.service).active[job.Organisation]++
			case decidable && ri.state == itemWaiting && !ri.notBefore.After(now):
				route := t.route(ri)
				if reason := abandonReason(route, job, now); reason != "" {
					s.abandonItem(t, ri, reason)
					continue
				}
				items := itemsOf(route.ServiceFor(r.submission.Items[i].ID))
				items.waiting = append(items.waiting, candidate{r, ri, job.Organisation, s.itemPriority(route, ri.events(), job.Created, now), dueTime(route, job.Created)})
			}
		}
	}
	return services
}

// itemPriority returns the priority of an item with a number of events, of a job created
// at a Unix time in ms. The caller holds s.mu.
func (s *Service) itemPriority(route *fleet.Route, events int, created int64, now time.Time) ItemPriority {
	priority := ItemPriority{Created: created, Events: events}
	if due := dueTime(route, created); !due.IsZero() {
		priority.Late = now.Add(s.pace.remaining(events)).After(due)
	}
	return priority
}

// dueTime returns when an item of a job created at a Unix time in ms is due, or zero.
func dueTime(route *fleet.Route, created int64) time.Time {
	if route.CompletionObjective <= 0 {
		return time.Time{}
	}
	return time.UnixMilli(created).Add(route.CompletionObjective)
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
