package agent

import (
	"context"
	"math"
	"time"

	"github.com/magnoliausher/magnoliausher/admission"
	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/link"
)

const (
	// grantValidity limits how long an entry may hold a grant without using it.
	grantValidity = time.Second
	// grantGrace allows for the transmission of the grant and of the attempt,
	// because entries count the validity from the arrival of the grant.
	grantGrace = 250 * time.Millisecond
	// grantInterval is how often capacity is checked without a change, because
	// expiring grants and the prompt budget free capacity over time.
	grantInterval = 100 * time.Millisecond
)

// grant is a permission to start batch items that has not been fully used.
type grant struct {
	entryID string
	items   int
	until   time.Duration // agent's monotonic time
}

// notify wakes the notifier. It never blocks.
func (a *Agent) notify() {
	signal(a.changed)
}

// notifyLoop announces load changes and grants capacity to entries with demand.
func (a *Agent) notifyLoop(ctx context.Context) error {
	tick := time.NewTicker(grantInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.changed:
			a.control.LoadChanged()
		case <-a.control.DemandChanged():
		case <-tick.C:
		}
		a.grantCapacity()
	}
}

func (a *Agent) grantCapacity() {
	for _, g := range a.planGrants(a.control.Demands(), time.Now()) {
		if !a.control.Grant(g.EntryID, g.Items, grantValidity) {
			a.revoke(g)
		}
	}
}

// planGrants divides the free capacity among the entries and records the grants
// as outstanding.
func (a *Agent) planGrants(demands []link.EntryDemand, wallNow time.Time) []admission.EntryGrant {
	if len(demands) == 0 {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	a.refresh(now)
	capacity := admission.BatchCapacity(&a.snap)
	if capacity == 0 {
		return nil
	}
	unmet := make([]admission.EntryDemand, 0, len(demands))
	for _, d := range demands {
		unmet = append(unmet, admission.EntryDemand{
			EntryID: d.EntryID,
			Items:   d.Items - a.granted(d.EntryID),
			Due:     dueTime(d.EarliestDue, wallNow, now),
		})
	}
	a.grantRound++
	plan := admission.AllocateGrants(capacity, unmet, a.grantRound)
	for _, g := range plan {
		a.grants = append(a.grants, grant{entryID: g.EntryID, items: g.Items, until: now + grantValidity + grantGrace})
	}
	return plan
}

// dueTime converts a wall-clock time to the agent's monotonic time.
func dueTime(due, wall time.Time, now time.Duration) time.Duration {
	if due.IsZero() {
		return math.MaxInt64
	}
	return now + due.Sub(wall)
}

// granted returns the number of items granted to an entry and not yet used. It
// requires a.mu.
func (a *Agent) granted(entryID string) int {
	n := 0
	for _, g := range a.grants {
		if g.entryID == entryID {
			n += g.items
		}
	}
	return n
}

// pruneGrants removes expired and used grants and returns the number of items of
// the others. It requires a.mu.
func (a *Agent) pruneGrants(now time.Duration) int {
	items := 0
	kept := a.grants[:0]
	for _, g := range a.grants {
		if g.until > now && g.items > 0 {
			kept = append(kept, g)
			items += g.items
		}
	}
	a.grants = kept
	return items
}

// useGrant consumes one item of the entry's oldest grant, or of the oldest grant
// of any entry if entryID is empty. It requires a.mu.
func (a *Agent) useGrant(entryID string) {
	for i := range a.grants {
		g := &a.grants[i]
		if g.items > 0 && (entryID == "" || entryID == g.entryID) {
			g.items--
			a.snap.Granted = max(0, a.snap.Granted-1)
			return
		}
	}
}

// revoke removes a grant that could not be sent.
func (a *Agent) revoke(g admission.EntryGrant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := len(a.grants) - 1; i >= 0; i-- {
		if a.grants[i].entryID == g.EntryID {
			a.grants[i].items = max(0, a.grants[i].items-g.Items)
			return
		}
	}
}

// jobLoop cancels the items of cancelled jobs.
func (a *Agent) jobLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case id, ok := <-a.control.CancelledJobs():
			if !ok {
				return nil
			}
			a.cancelJob(id)
		}
	}
}

func (a *Agent) cancelJob(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelledJobs.Add(id, struct{}{})
	for _, q := range a.snap.Running {
		if t := a.running[q]; q.Class == contract.ClassBatch && t.req.JobId == id {
			a.cancelSequence(q, errJobCancelled)
		}
	}
}
