package instance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliausher/magnoliausher/storage"
)

// Limits up to which every entry links to every agent. They are the numbers of
// links per entry and per agent at the target size, so a full mesh within them
// costs no more than the subsets do there.
const (
	MaxLinksPerEntry = 96
	MaxLinksPerAgent = 12
)

// remoteShare is the divisor of an entry's links per service that gives the
// number of links to other data centres. There is at least one of these if the
// entry has several links, so that it keeps working links when its own data
// centre is lost.
const remoteShare = 3

// Subset returns the agents that entry self connects to, sorted by id: perService
// agents of each service. It is deterministic: every process with the same lists
// computes the same subsets. Within a service, the numbers of entries per agent
// differ by at most one. Subset returns all agents if a full mesh is within
// MaxLinksPerEntry and MaxLinksPerAgent, and nil if self is not in entries.
func Subset(entries, agents []storage.Instance, self string, perService int) []storage.Instance {
	return new(SubsetCache).Subset(entries, agents, self, perService)
}

// ExpandSubset returns up to n additional agents for self that are not in linked,
// in self's order of preference. An entry uses it to double a service's subset
// while all links of the subset refuse requests or are lost.
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

// byService groups the agents by service, sorted by service name.
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

// pairScore returns the mutual preference of an entry and an agent. It depends
// on their ids only, so that replacing another instance changes few links.
func pairScore(entry, agent string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(entry)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(agent)
	return d.Sum64()
}
