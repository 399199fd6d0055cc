package admission

import (
	"cmp"
	"slices"
	"time"
)

// urgencyStep is the difference of due times below which entries count as
// equally urgent.
const urgencyStep = time.Second

// EntryDemand is the batch work that one entry could send.
type EntryDemand struct {
	EntryID string
	Items   int           // ready, less what is granted already
	Due     time.Duration // of the most urgent item, in the agent's monotonic time
}

// EntryGrant is the share of one entry.
type EntryGrant struct {
	EntryID string
	Items   int
}

// AllocateGrants divides room among the entries with demand, the most urgent first and
// evenly among equals. turn rotates who gets the remainder.
func AllocateGrants(room int, demands []EntryDemand, turn int) []EntryGrant {
	open := make([]EntryDemand, 0, len(demands))
	for _, d := range demands {
		if d.Items > 0 {
			open = append(open, d)
		}
	}
	slices.SortFunc(open, func(a, b EntryDemand) int {
		if c := cmp.Compare(a.Due/urgencyStep, b.Due/urgencyStep); c != 0 {
			return c
		}
		return cmp.Compare(a.EntryID, b.EntryID)
	})
	var out []EntryGrant
	for len(open) > 0 && room > 0 {
		end := 1
		for end < len(open) && open[end].Due/urgencyStep == open[0].Due/urgencyStep {
			end++
		}
		grants := spreadEqual(room, open[:end], turn)
		for _, g := range grants {
			room -= g.Items
		}
		out = append(out, grants...)
		open = open[end:]
	}
	return out
}

// spreadEqual gives one item per entry and round until room or demand ends.
func spreadEqual(room int, equal []EntryDemand, turn int) []EntryGrant {
	given := make([]int, len(equal))
	for progress := true; progress && room > 0; {
		progress = false
		for i := range equal {
			k := (i + turn) % len(equal)
			if room > 0 && given[k] < equal[k].Items {
				given[k]++
				room--
				progress = true
			}
		}
	}
	var out []EntryGrant
	for i, n := range given {
		if n > 0 {
			out = append(out, EntryGrant{EntryID: equal[i].EntryID, Items: n})
		}
	}
	return out
}
