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
	// grantValidity bounds how long an entry may hold room without using it.
	grantValidity = time.Second
	// grantGrace covers the way of the grant and of the attempt, because entries
	// count the validity from the arrival.
	grantGrace = 250 * time.Millisecond
	// grantInterval is how often room is looked for without a change, because
	// lapsed grants and the prompt budget free room with time.
	grantInterval = 100 * time.Millisecond
)

// grant is an unused permission.
type grant struct {
	entryID string
	items   int
	until   time.Duration // agent's monotonic time
}

// notify wakes the notifier. It never blocks.
func (a *Agent) notify() {
	signal(a.changed)
}

// notifyLoop announces load changes and grants room to entries with demand.
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
		a.grantRoom()
	}
}

func (a *Agent) grantRoom() {
	for _, g := range a.planGrants(a.control.Demands(), time.Now()) {
		if !a.control.Grant(g.EntryID, g.Items, grantValidity) {
			a.revoke(g)
		}
	}
}

// planGrants divides the room and counts the grants as outstanding.
func (a *Agent) planGrants(demands []link.EntryDemand, wall time.Time) []admission.EntryGrant {
	if len(demands) == 0 {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	a.refresh(now)
	room := admission.BatchCapacity(&a.snap)
	if room == 0 {
		return nil
	}
	open := make([]admission.EntryDemand, 0, len(demands))
	for _, d := range demands {
		open = append(open, admission.EntryDemand{
			EntryID: d.EntryID,
			Items:   d.Items - a.granted(d.EntryID),
			Due:     dueTime(d.EarliestDue, wall, now),
		})
	}
	a.grantTurn++
	plan := admission.AllocateGrants(room, open, a.grantTurn)
	for _, g := range plan {
		a.grants = append(a.grants, grant{entryID: g.EntryID, items: g.Items, until: now + grantValidity + grantGrace})
	}
	return plan
}

// dueTime converts a wall time to the agent's monotonic time.
func dueTime(due, wall time.Time, now time.Duration) time.Duration {
	if due.IsZero() {
		return math.MaxInt64
	}
	return now + due.Sub(wall)
}

// granted needs mu.
func (a *Agent) granted(entryID string) int {
	n := 0
	for _, g := range a.grants {
		if g.entryID == entryID {
			n += g.items
		}
	}
	return n
}

// pruneGrants drops lapsed grants and returns the items of the others. Needs mu.
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

// useGrant counts one item of the entry's oldest grant as started, of any
// entry's when the entry is unknown. Needs mu.
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

// revoke takes back a grant that could not be sent.
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
			a.end(q, errJobCancelled)
		}
	}
}
