package instance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliausher/magnoliausher/storage"
)

// matching assigns the entries of the fleet to the agents of one service by
// deferred acceptance (Gale-Shapley): entries propose to agents in order of
// preference, and an agent at capacity keeps the entries that it prefers. Because
// preferences depend on the pair only, the result is independent of the order of
// the lists, and replacing an instance changes few other links.
type matching struct {
	entries, agents     []storage.Instance
	linksPerEntry       int
	remoteLinksPerEntry int   // links to other data centres, included in linksPerEntry
	capacity            []int // per agent; the sum is linksPerEntry times the number of entries

	local, remote [][]int     // per entry: agents inside and outside its data centre, in order of preference
	nextLocal     []int       // per entry: index into local of the next proposal
	nextRemote    []int       // per entry: index into remote of the next proposal
	links         []linkCount // per entry
	accepted      [][]int     // per agent: entries linked to it
}

// linkCount is the number of an entry's links inside and outside its data centre.
type linkCount struct {
	local, remote int
}

func newMatching(entries, agents []storage.Instance, perService int) *matching {
	m := &matching{
		entries:       entries,
		agents:        agents,
		linksPerEntry: min(perService, len(agents)),
		local:         make([][]int, len(entries)),
		remote:        make([][]int, len(entries)),
		nextLocal:     make([]int, len(entries)),
		nextRemote:    make([]int, len(entries)),
		links:         make([]linkCount, len(entries)),
		accepted:      make([][]int, len(agents)),
	}
	if m.linksPerEntry > 1 {
		m.remoteLinksPerEntry = max(1, m.linksPerEntry/remoteShare)
	}
	m.capacity = capacities(agents, m.linksPerEntry*len(entries))
	for e := range entries {
		m.rank(e)
	}
	return m
}

// capacities distributes the links evenly over the agents. The agents with the
// lowest hashes get the remainder, one link each, so that few capacities change
// when the number of agents changes.
func capacities(agents []storage.Instance, links int) []int {
	order := make([]int, len(agents))
	hashes := make([]uint64, len(agents))
	for i := range agents {
		order[i] = i
		hashes[i] = xxhash.Sum64String(agents[i].ID)
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(hashes[a], hashes[b]), cmp.Compare(agents[a].ID, agents[b].ID))
	})
	capacity := make([]int, len(agents))
	for position, i := range order {
		capacity[i] = links / len(agents)
		if position < links%len(agents) {
			capacity[i]++
		}
	}
	return capacity
}

// rank sorts the agents by the entry's preference, separately for its own data
// centre and the others.
func (m *matching) rank(e int) {
	scores := make([]uint64, len(m.agents))
	var local, remote []int
	for a := range m.agents {
		scores[a] = pairScore(m.entries[e].ID, m.agents[a].ID)
		if m.isLocal(e, a) {
			local = append(local, a)
		} else {
			remote = append(remote, a)
		}
	}
	byScore := func(a, b int) int {
		return cmp.Or(cmp.Compare(scores[b], scores[a]), cmp.Compare(m.agents[a].ID, m.agents[b].ID))
	}
	slices.SortFunc(local, byScore)
	slices.SortFunc(remote, byScore)
	m.local[e], m.remote[e] = local, remote
}

func (m *matching) isLocal(e, a int) bool {
	return m.entries[e].DataCentre == m.agents[a].DataCentre
}

// run computes the assignment.
func (m *matching) run() {
	queue := m.byID()
	for len(queue) > 0 {
		e := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		for m.missing(e) > 0 {
			a, ok := m.propose(e)
			if !ok {
				break
			}
			if displaced := m.accept(e, a); displaced >= 0 {
				queue = append(queue, displaced)
			}
		}
	}
	m.fillOpenLinks()
}

// missing returns the number of links that the entry still needs.
func (m *matching) missing(e int) int {
	return m.linksPerEntry - m.links[e].local - m.links[e].remote
}

// propose returns the next agent that the entry proposes to. The entry proposes
// to remote agents for its remote share and to local agents for the rest. When
// one kind is exhausted, it continues with the other.
func (m *matching) propose(e int) (agent int, ok bool) {
	localLeft := m.nextLocal[e] < len(m.local[e])
	remoteLeft := m.nextRemote[e] < len(m.remote[e])
	wantsRemote := m.links[e].remote < m.remoteLinksPerEntry
	wantsLocal := m.links[e].local < m.linksPerEntry-m.remoteLinksPerEntry
	switch {
	case localLeft && (wantsLocal || !remoteLeft):
		m.nextLocal[e]++
		return m.local[e][m.nextLocal[e]-1], true
	case remoteLeft && (wantsRemote || !localLeft || wantsLocal):
		m.nextRemote[e]++
		return m.remote[e][m.nextRemote[e]-1], true
	default:
		return 0, false
	}
}

// accept links the entry to the agent. If that exceeds the agent's capacity, it
// unlinks the least preferred entry, possibly the same one, and returns it;
// otherwise it returns -1.
func (m *matching) accept(e, a int) (displaced int) {
	m.link(e, a)
	if len(m.accepted[a]) <= m.capacity[a] {
		return -1
	}
	worst := slices.MinFunc(m.accepted[a], func(x, y int) int { return m.compareEntries(a, x, y) })
	m.unlink(worst, a)
	return worst
}

// compareEntries orders entries by the agent's preference, least preferred first.
// The agent prefers entries of its own data centre.
func (m *matching) compareEntries(a, x, y int) int {
	if lx, ly := m.isLocal(x, a), m.isLocal(y, a); lx != ly {
		if ly {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(pairScore(m.entries[x].ID, m.agents[a].ID), pairScore(m.entries[y].ID, m.agents[a].ID)),
		cmp.Compare(m.entries[x].ID, m.entries[y].ID),
	)
}

func (m *matching) link(e, a int) {
	m.accepted[a] = append(m.accepted[a], e)
	m.addToCount(e, a, 1)
}

func (m *matching) unlink(e, a int) {
	i := slices.Index(m.accepted[a], e)
	m.accepted[a] = slices.Delete(m.accepted[a], i, i+1)
	m.addToCount(e, a, -1)
}

func (m *matching) addToCount(e, a, by int) {
	if m.isLocal(e, a) {
		m.links[e].local += by
	} else {
		m.links[e].remote += by
	}
}

// fillOpenLinks adds the links that deferred acceptance left open: an entry may
// have been refused by all other agents while the only agents with free capacity
// are already linked to it. Another entry then moves one of its links to such an
// agent, which frees capacity for this entry.
func (m *matching) fillOpenLinks() {
	for _, e := range m.byID() {
		for m.missing(e) > 0 && m.addLink(e) {
		}
	}
}

// byID returns the indexes of the entries sorted by id, which makes the result
// independent of the order of the list.
func (m *matching) byID() []int {
	order := make([]int, len(m.entries))
	for e := range order {
		order[e] = e
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(m.entries[a].ID, m.entries[b].ID) })
	return order
}

// addLink adds one link to the entry, either directly or by moving a link of
// another entry. It reports whether it succeeded.
func (m *matching) addLink(e int) bool {
	ranked := slices.Concat(m.local[e], m.remote[e])
	for _, a := range ranked {
		if m.hasRoom(a) && !slices.Contains(m.accepted[a], e) {
			m.link(e, a)
			return true
		}
	}
	for _, a := range ranked {
		if !m.hasRoom(a) {
			continue
		}
		for _, from := range ranked {
			if slices.Contains(m.accepted[from], e) {
				continue
			}
			if other := m.findMovable(from, a); other >= 0 {
				m.unlink(other, from)
				m.link(other, a)
				m.link(e, from)
				return true
			}
		}
	}
	return false
}

func (m *matching) hasRoom(a int) bool {
	return len(m.accepted[a]) < m.capacity[a]
}

// findMovable returns the entry with the lowest id that is linked to agent from
// but not to agent to, or -1.
func (m *matching) findMovable(from, to int) int {
	best := -1
	for _, e := range m.accepted[from] {
		if slices.Contains(m.accepted[to], e) {
			continue
		}
		if best < 0 || m.entries[e].ID < m.entries[best].ID {
			best = e
		}
	}
	return best
}

// agentsOf returns the agents that the entry is linked to.
func (m *matching) agentsOf(e int) []int {
	var list []int
	for a := range m.agents {
		if slices.Contains(m.accepted[a], e) {
			list = append(list, a)
		}
	}
	return list
}
