package instance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/magnoliausher/magnoliausher/storage"
)

func makeInstances(prefix string, n, services int) []storage.Instance {
	list := make([]storage.Instance, n)
	for i := range list {
		list[i] = storage.Instance{
			ID:         fmt.Sprintf("%s-%04d", prefix, i),
			DataCentre: fmt.Sprintf("dc-%d", i/services%6),
			Service:    fmt.Sprintf("model-%02d", i%services),
		}
	}
	return list
}

// assignments returns the set of linked agent ids by entry id.
func assignments(entries, agents []storage.Instance, perService int) map[string]map[string]bool {
	all := make(map[string]map[string]bool, len(entries))
	for _, e := range entries {
		all[e.ID] = make(map[string]bool)
	}
	for _, group := range byService(agents) {
		m := newMatching(entries, group, perService)
		m.run()
		for a, linked := range m.accepted {
			for _, e := range linked {
				all[entries[e].ID][group[a].ID] = true
			}
		}
	}
	return all
}

// evenness returns the largest difference of entries per agent within a service,
// and whether the total number of links is the required one.
func evenness(all map[string]map[string]bool, entries, agents []storage.Instance, perService int) (spread int, full bool) {
	perAgent := make(map[string]int)
	links := 0
	for _, chosen := range all {
		links += len(chosen)
		for id := range chosen {
			perAgent[id]++
		}
	}
	wanted := 0
	for _, group := range byService(agents) {
		low, high := len(entries), 0
		for _, in := range group {
			low = min(low, perAgent[in.ID])
			high = max(high, perAgent[in.ID])
		}
		spread = max(spread, high-low)
		wanted += min(perService, len(group)) * len(entries)
	}
	return spread, links == wanted
}

func changedLinks(before, after map[string]map[string]bool) int {
	changed := 0
	for entry, chosen := range after {
		for id := range chosen {
			if !before[entry][id] {
				changed++
			}
		}
	}
	return changed
}

// Guards against an uneven distribution of entries over agents at the target
// size, a subset that has no links or most of its links in other data centres,
// and a replaced instance that changes many links.
func TestSubsetAtTargetSize(t *testing.T) {
	entries, agents := makeInstances("entry", 330, 1), makeInstances("agent", 2700, 32)
	before := assignments(entries, agents, 3)
	if spread, full := evenness(before, entries, agents, 3); spread > 1 || !full {
		t.Fatalf("entries per agent differ by %d, all links used: %v", spread, full)
	}
	dataCentre := make(map[string]string)
	for _, in := range agents {
		dataCentre[in.ID] = in.DataCentre
	}
	local, total := 0, 0
	for _, e := range entries {
		own := 0
		for id := range before[e.ID] {
			if dataCentre[id] == e.DataCentre {
				own++
			}
		}
		if own == 0 || own == len(before[e.ID]) {
			t.Fatalf("%s has %d of %d links in its data centre", e.ID, own, len(before[e.ID]))
		}
		local += own
		total += len(before[e.ID])
	}
	t.Logf("%d of %d links are local", local, total)
	if 2*local < total {
		t.Errorf("%d of %d links are local, want more than half", local, total)
	}

	replaced := append([]storage.Instance(nil), agents...)
	replaced[1234].ID = "agent-new"
	moved := changedLinks(before, assignments(entries, replaced, 3))
	t.Logf("replacing one agent opens %d links of %d", moved, total)
	// Its 11 or 12 entries need new links, and each of these may displace a few others.
	if moved > 100 {
		t.Errorf("replacing one agent opens %d links", moved)
	}
	fewer := assignments(entries[1:], agents, 3)
	moved = changedLinks(before, fewer)
	t.Logf("removing one entry opens %d links of %d", moved, total)
	if moved > 960 { // ten times the links of one entry
		t.Errorf("removing one entry opens %d links", moved)
	}
}

// Guards against an uneven distribution and missing links at other sizes, with
// small services, empty data centres, and link counts that are not divisible by
// the number of agents.
func TestSubsetEvennessProperty(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("even and complete", prop.ForAll(func(e, a, services, perService int, seed uint64) bool {
		entries, agents := makeInstances("entry", e, 1), makeInstances("agent", a, services)
		random := rand.New(rand.NewPCG(seed, 1))
		for i := range agents {
			agents[i].DataCentre = fmt.Sprintf("dc-%d", random.IntN(3))
		}
		spread, full := evenness(assignments(entries, agents, perService), entries, agents, perService)
		return spread <= 1 && full
	}, gen.IntRange(1, 60), gen.IntRange(1, 60), gen.IntRange(1, 5), gen.IntRange(1, 6), gen.UInt64()))
	properties.Property("independent of the lists' order", prop.ForAll(func(e, a int, seed uint64) bool {
		entries, agents := makeInstances("entry", e, 1), makeInstances("agent", a, 2)
		before := assignments(entries, agents, 3)
		random := rand.New(rand.NewPCG(seed, 1))
		random.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
		random.Shuffle(len(agents), func(i, j int) { agents[i], agents[j] = agents[j], agents[i] })
		return changedLinks(before, assignments(entries, agents, 3)) == 0
	}, gen.IntRange(1, 40), gen.IntRange(1, 40), gen.UInt64()))
	properties.TestingRun(t)
}

// Guards against partial subsets in a fleet that is small enough for a full mesh,
// and against an expansion that repeats a linked agent.
func TestSmallFleetAndExpansion(t *testing.T) {
	entries, agents := makeInstances("entry", 4, 1), makeInstances("agent", 40, 2)
	if got := Subset(entries, agents, "entry-0001", 3); len(got) != 40 {
		t.Errorf("%d agents linked, want all 40", len(got))
	}
	if got := Subset(entries, agents, "entry-9999", 3); got != nil {
		t.Errorf("an unknown entry got %d links", len(got))
	}
	more := ExpandSubset(entries[0], agents, agents[:3], 3)
	if len(more) != 3 {
		t.Fatalf("expanded by %d, want 3", len(more))
	}
	for _, in := range more {
		for _, have := range agents[:3] {
			if in.ID == have.ID {
				t.Errorf("%s is linked already", in.ID)
			}
		}
	}
}

// Guards against a cache that returns the subset of outdated lists.
func TestSubsetCacheMatchesUncachedSubset(t *testing.T) {
	entries, agents := makeInstances("entry", 30, 1), makeInstances("agent", 60, 3)
	var cache SubsetCache
	random := rand.New(rand.NewPCG(1, 1))
	for range 50 {
		if random.IntN(4) == 0 {
			entries[random.IntN(29)+1].ID = fmt.Sprintf("entry-%d", random.Uint64())
		}
		agents[random.IntN(60)].ID = fmt.Sprintf("agent-%d", random.Uint64())
		agents[random.IntN(60)].Address = fmt.Sprintf("10.0.0.1:%d", random.Uint32())
		agents[random.IntN(60)].State = []storage.InstanceState{storage.InstanceLive, storage.InstanceLeaving}[random.IntN(2)]
		got := cache.Subset(entries, agents, entries[0].ID, 3)
		if want := Subset(entries, agents, entries[0].ID, 3); !slices.Equal(got, want) {
			t.Fatalf("cached subset %v, want %v", got, want)
		}
	}
}

// BenchmarkSubsetCacheOneAgent measures the cached subset after one agent changed,
// at the target size.
func BenchmarkSubsetCacheOneAgent(b *testing.B) {
	entries, agents := makeInstances("entry", 330, 1), makeInstances("agent", 2700, 32)
	var cache SubsetCache
	cache.Subset(entries, agents, "entry-0100", 3)
	n := 0
	for b.Loop() {
		n++
		agents[n%len(agents)].ID = fmt.Sprintf("agent-new-%d", n)
		cache.Subset(entries, agents, "entry-0100", 3)
	}
}

// BenchmarkSubsetTargetSize measures one entry's subset at the target size without
// a cache.
func BenchmarkSubsetTargetSize(b *testing.B) {
	entries, agents := makeInstances("entry", 330, 1), makeInstances("agent", 2700, 32)
	for b.Loop() {
		Subset(entries, agents, "entry-0100", 3)
	}
}
