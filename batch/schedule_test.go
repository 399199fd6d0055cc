package batch

import (
	"slices"
	"testing"
	"time"
)

// Guards against an order that starts young jobs before those that are due, and
// against one that lets jobs that are late already make others late.
func TestCompareItems(t *testing.T) {
	list := []ItemPriority{{Created: 30}, {Created: 5, Late: true, Events: 50}, {Created: 10}, {Created: 20, Events: 9}, {Created: 10, Events: 5}}
	slices.SortFunc(list, CompareItems)
	want := []ItemPriority{{Created: 10, Events: 5}, {Created: 10}, {Created: 20, Events: 9}, {Created: 30}, {Created: 5, Late: true, Events: 50}}
	if !slices.Equal(list, want) {
		t.Errorf("got %v, want %v", list, want)
	}
}

// A day on which no item can run from second 10 to 30, with a job of ten items
// each second and slots for a third more than that.
type backlogDay struct {
	slots   int
	item    time.Duration // on a slot
	due     time.Duration
	outage  [2]time.Duration
	length  time.Duration
	arrival time.Duration // between two jobs
}

// late plays the day in steps and counts the items that are not done when due:
// all of them, and those that came after the outage.
func (d backlogDay) late(compare func(a, b ItemPriority) int) (all, after int) {
	const step = 100 * time.Millisecond
	type item struct {
		created, left time.Duration
	}
	var waiting, active []*item
	for now := time.Duration(0); now < d.length; now += step {
		if now%d.arrival == 0 {
			for range 10 {
				waiting = append(waiting, &item{now, d.item})
			}
		}
		if now >= d.outage[0] && now < d.outage[1] {
			continue
		}
		view := func(i *item) ItemPriority {
			return ItemPriority{Created: i.created.Milliseconds(), Late: now+i.left > i.created+d.due}
		}
		slices.SortStableFunc(waiting, func(a, b *item) int { return compare(view(a), view(b)) })
		for len(active) < d.slots && len(waiting) > 0 {
			active, waiting = append(active, waiting[0]), waiting[1:]
		}
		active = slices.DeleteFunc(active, func(i *item) bool {
			i.left -= step
			if i.left <= 0 && now > i.created+d.due {
				all++
				if i.created >= d.outage[1] {
					after++
				}
			}
			return i.left <= 0
		})
	}
	return all, after
}

// Guards against a backlog after an outage that makes the jobs late that came
// when all was well again.
func TestBacklogMakesOnlyItselfLate(t *testing.T) {
	day := backlogDay{slots: 67, item: 5 * time.Second, due: 18 * time.Second,
		outage: [2]time.Duration{10 * time.Second, 30 * time.Second}, length: 90 * time.Second, arrival: time.Second}
	all, after := day.late(CompareItems)
	if after > 0 {
		t.Errorf("%d items that came after the outage are late", after)
	}
	oldest, oldestAfter := day.late(func(a, b ItemPriority) int {
		a.Late, b.Late = false, false
		return CompareItems(a, b)
	})
	t.Logf("late: %d, %d of them came after the outage; oldest first: %d, %d", all, after, oldest, oldestAfter)
	if all >= oldest {
		t.Errorf("%d items are late, %d with the oldest first", all, oldest)
	}
}
