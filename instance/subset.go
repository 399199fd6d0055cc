package instance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliausher/magnoliausher/storage"
)

// Bounds within which every entry links to every agent. They are the links per
// entry and per agent at the target size, so full linking costs no more.
const (
	MaxLinksPerEntry = 96
	MaxLinksPerAgent = 12
)

// remoteShare is the fraction 1/remoteShare of an entry's links of a service
// that go to other data centres, at least one, so that the loss of its data
// centre leaves it with working links.
const remoteShare = 3

// Subset returns the agents that entry self links to, sorted by id: perService
// agents of each service. Every process with the same lists computes the same
// subsets. In each service the numbers of entries per agent differ by at most
// one. It returns all agents when that is within the bounds, and nil when self
// is not in entries.
func Subset(entries, agents []storage.Instance, self string, perService int) []storage.Instance {
	return new(SubsetCache).Subset(entries, agents, self, perService)
}

// ExpandSubset returns up to n further agents for self that are not in linked, in
// its own order of preference. An entry doubles a service's subset with it
// while all links of the subset refuse or are lost.
func ExpandSubset(self storage.Instance, agents, linked []storage.Instance, n int) []storage.Instance {
	have := make(map[string]struct{}, len(linked))
	for _, in := range linked {
		have[in.ID] = struct{}{}
	}
	var further []storage.Instance
	for _, in := range agents {
		if _, ok := have[in.ID]; !ok {
			further = append(further, in)
		}
	}
	slices.SortFunc(further, func(a, b storage.Instance) int {
		return cmp.Or(
			cmp.Compare(pairScore(self.ID, b.ID), pairScore(self.ID, a.ID)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return further[:min(n, len(further))]
}

func sortedByID(list []storage.Instance) []storage.Instance {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b storage.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return sorted
}

// byService splits agents by service, in a fixed order.
func byService(agents []storage.Instance) [][]storage.Instance {
	groups := make(map[string][]storage.Instance)
	var names []string
	for _, in := range agents {
		if groups[in.Service] == nil {
			names = append(names, in.Service)
		}
		groups[in.Service] = append(groups[in.Service], in)
	}
	slices.Sort(names)
	lists := make([][]storage.Instance, 0, len(names))
	for _, name := range names {
		lists = append(lists, groups[name])
	}
	return lists
}

// pairScore is the mutual preference of an entry and an agent. It depends on
// these two only, so that the replacement of another instance changes little.
func pairScore(entry, agent string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(entry)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(agent)
	return d.Sum64()
}
