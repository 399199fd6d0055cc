package batch

import (
	"slices"
	"testing"
	"time"
)

// Guards against an order that starts newer jobs before those that are due first,
// or that lets jobs that are already late delay others.
func TestCompareItems(t *testing.T) {
	list := []ItemPriority{{Created: 30}, {Created: 5, Late: true, Events: 50}, {Created: 10}, {Created: 20, Events: 9}, {Created: 10, Events: 5}}
	slices.SortFunc(list, CompareItems)
	want := []ItemPriority{{Created: 10, Events: 5}, {Created: 10}, {Created: 20, Events: 9}, {Created: 30}, {Created: 5, Late: true, Events: 50}}
	if !slices.Equal(list, want) {
		t.Errorf("got %v, want %v", list, want)
	}
}

// backlogScenario simulates an outage during which no item can run, while jobs of
// ten items keep arriving.
type backlogScenario struct {
	slots               int
	itemDuration        time.Duration // time that an item needs on a slot
	completionObjective time.Duration
	outage              [2]time.Duration
	duration            time.Duration
	arrivalInterval     time.Duration // time between two jobs
}

// countLate simulates the scenario in steps and counts the items that miss the
// completion objective: all of them, and those submitted after the outage.
func (s backlogScenario) countLate(compare func(a, b ItemPriority) int) (all, after int) {
	const step = 100 * time.Millisecond
	type item struct {
		created, left time.Duration
	}
	var waiting, active []*item
	for now := time.Duration(0); now < s.duration; now += step {
		if now%s.arrivalInterval == 0 {
			for range 10 {
				waiting = append(waiting, &item{now, s.itemDuration})
			}
		}
		if now >= s.outage[0] && now < s.outage[1] {
			continue
		}
		view := func(i *item) ItemPriority {
			return ItemPriority{Created: i.created.Milliseconds(), Late: now+i.left > i.created+s.completionObjective}
		}
		slices.SortStableFunc(waiting, func(a, b *item) int { return compare(view(a), view(b)) })
		for len(active) < s.slots && len(waiting) > 0 {
			active, waiting = append(active, waiting[0]), waiting[1:]
		}
		active = slices.DeleteFunc(active, func(i *item) bool {
			i.left -= step
			if i.left <= 0 && now > i.created+s.completionObjective {
				all++
				if i.created >= s.outage[1] {
					after++
				}
			}
			return i.left <= 0
		})
	}
	return all, after
}

// Guards against a backlog from an outage that delays the jobs submitted after
// the outage. Nothing runs from second 10 to 30; a job of ten items arrives each
// second, and the slots have capacity for a third more than that.
func TestBacklogDoesNotDelayLaterJobs(t *testing.T) {
	scenario := backlogScenario{slots: 67, itemDuration: 5 * time.Second, completionObjective: 18 * time.Second,
		outage: [2]time.Duration{10 * time.Second, 30 * time.Second}, duration: 90 * time.Second, arrivalInterval: time.Second}
	all, after := scenario.countLate(CompareItems)
	if after > 0 {
		t.Errorf("%d items submitted after the outage are late", after)
	}
	oldestFirst, oldestFirstAfter := scenario.countLate(func(a, b ItemPriority) int {
		a.Late, b.Late = false, false
		return CompareItems(a, b)
	})
	t.Logf("late: %d, %d of them submitted after the outage; oldest first: %d, %d", all, after, oldestFirst, oldestFirstAfter)
	if all >= oldestFirst {
		t.Errorf("%d items are late, not fewer than the %d with the oldest job first", all, oldestFirst)
	}
}
