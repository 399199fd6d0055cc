package instance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliausher/magnoliausher/storage"
)

// matching assigns the entries of the fleet to the agents of one service by
// deferred acceptance: entries propose to agents in their order of preference,
// and a full agent keeps the entries that it prefers. With preferences that
// depend on the pair only, the result does not depend on the order of the
// lists, and replacing an instance displaces few other links.
type matching struct {
	entries, agents []storage.Instance
	wanted          int   // links per entry
	remoteWanted    int   // of these, to other data centres
	capacity        []int // per agent; sums to wanted times entries

	local, remote [][]int // per entry: agents in order of preference
	nextLocal     []int   // per entry: next index into local to propose to
	nextRemote    []int
	held          []held
	accepted      [][]int // per agent: entries
}

// held counts an entry's links.
type held struct {
	local, remote int
}

func newMatching(entries, agents []storage.Instance, perService int) *matching {
	m := &matching{
		entries:    entries,
		agents:     agents,
		wanted:     min(perService, len(agents)),
		local:      make([][]int, len(entries)),
		remote:     make([][]int, len(entries)),
		nextLocal:  make([]int, len(entries)),
		nextRemote: make([]int, len(entries)),
		held:       make([]held, len(entries)),
		accepted:   make([][]int, len(agents)),
	}
	if m.wanted > 1 {
		m.remoteWanted = max(1, m.wanted/remoteShare)
	}
	m.capacity = capacities(agents, m.wanted*len(entries))
	for e := range entries {
		m.rank(e)
	}
	return m
}

// capacities divides links evenly. The agents with the lowest hash get one
// more, so that few capacities change with the number of agents.
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

// rank orders the agents by the entry's preference.
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
		for m.short(e) > 0 {
			a, ok := m.propose(e)
			if !ok {
				break
			}
			if displaced := m.accept(e, a); displaced >= 0 {
				queue = append(queue, displaced)
			}
		}
	}
	m.repair()
}

// short is the number of links that the entry lacks.
func (m *matching) short(e int) int {
	return m.wanted - m.held[e].local - m.held[e].remote
}

// propose returns the next agent that the entry asks. It asks remote agents
// for its remote share, local ones for the rest, and the others when one kind
// is exhausted.
func (m *matching) propose(e int) (agent int, ok bool) {
	localLeft := m.nextLocal[e] < len(m.local[e])
	remoteLeft := m.nextRemote[e] < len(m.remote[e])
	wantsRemote := m.held[e].remote < m.remoteWanted
	wantsLocal := m.held[e].local < m.wanted-m.remoteWanted
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

// accept lets the agent consider the entry. It returns the entry that lost its
// link or was refused, or -1.
func (m *matching) accept(e, a int) (displaced int) {
	m.link(e, a)
	if len(m.accepted[a]) <= m.capacity[a] {
		return -1
	}
	worst := slices.MinFunc(m.accepted[a], func(x, y int) int { return m.compareEntries(a, x, y) })
	m.unlink(worst, a)
	return worst
}

// compareEntries orders entries by the agent's preference, the least preferred
// first. Entries of its data centre precede all others.
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
	m.count(e, a, 1)
}

func (m *matching) unlink(e, a int) {
	i := slices.Index(m.accepted[a], e)
	m.accepted[a] = slices.Delete(m.accepted[a], i, i+1)
	m.count(e, a, -1)
}

func (m *matching) count(e, a, by int) {
	if m.isLocal(e, a) {
		m.held[e].local += by
	} else {
		m.held[e].remote += by
	}
}

// repair fills the links that deferred acceptance left open: an entry may have
// been refused everywhere while the only agents with room already hold it.
// Then a third entry moves one of its links to that agent.
func (m *matching) repair() {
	for _, e := range m.byID() {
		for m.short(e) > 0 && m.fill(e) {
		}
	}
}

// byID gives the entries in an order that does not depend on the list's.
func (m *matching) byID() []int {
	order := make([]int, len(m.entries))
	for e := range order {
		order[e] = e
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(m.entries[a].ID, m.entries[b].ID) })
	return order
}

// fill gives the entry one more link.
func (m *matching) fill(e int) bool {
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
			if third := m.movable(from, a); third >= 0 {
				m.unlink(third, from)
				m.link(third, a)
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

// movable returns an entry that holds from and not to, or -1.
func (m *matching) movable(from, to int) int {
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

// agentsOf returns the agents that hold the entry.
func (m *matching) agentsOf(e int) []int {
	var list []int
	for a := range m.agents {
		if slices.Contains(m.accepted[a], e) {
			list = append(list, a)
		}
	}
	return list
}
