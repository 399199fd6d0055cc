package admission

import (
	"cmp"
	"slices"
	"time"
)

// urgencyResolution is the unit to which due times are truncated; entries with the
// same result are equally urgent.
const urgencyResolution = time.Second

// EntryDemand is the batch work that one entry has ready to send.
type EntryDemand struct {
	EntryID string
	Items   int           // ready items that are not granted yet
	Due     time.Duration // due time of the most urgent item, in the agent's monotonic time
}

// EntryGrant is the number of items granted to one entry.
type EntryGrant struct {
	EntryID string
	Items   int
}

// AllocateGrants divides capacity among the entries with demand, the most urgent
// first and evenly among equally urgent ones. rotation selects which of these get
// the remainder.
func AllocateGrants(capacity int, demands []EntryDemand, rotation int) []EntryGrant {
	open := make([]EntryDemand, 0, len(demands))
	for _, d := range demands {
		if d.Items > 0 {
			open = append(open, d)
		}
	}
	slices.SortFunc(open, func(a, b EntryDemand) int {
		if c := cmp.Compare(a.Due/urgencyResolution, b.Due/urgencyResolution); c != 0 {
			return c
		}
		return cmp.Compare(a.EntryID, b.EntryID)
	})
	var out []EntryGrant
	for len(open) > 0 && capacity > 0 {
		end := 1
		for end < len(open) && open[end].Due/urgencyResolution == open[0].Due/urgencyResolution {
			end++
		}
		grants := allocateRoundRobin(capacity, open[:end], rotation)
		for _, g := range grants {
			capacity -= g.Items
		}
		out = append(out, grants...)
		open = open[end:]
	}
	return out
}

// allocateRoundRobin grants each entry one item per round until the capacity or the
// demand is used up.
func allocateRoundRobin(capacity int, equal []EntryDemand, rotation int) []EntryGrant {
	granted := make([]int, len(equal))
	for progress := true; progress && capacity > 0; {
		progress = false
		for i := range equal {
			k := (i + rotation) % len(equal)
			if capacity > 0 && granted[k] < equal[k].Items {
				granted[k]++
				capacity--
				progress = true
			}
		}
	}
	var out []EntryGrant
	for i, n := range granted {
		if n > 0 {
			out = append(out, EntryGrant{EntryID: equal[i].EntryID, Items: n})
		}
	}
	return out
}
