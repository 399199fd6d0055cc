package peer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliausher/magnoliausher/dispatch"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

const (
	// urgentInterval merges urgent news that a collector passes on.
	urgentInterval = 2 * time.Millisecond
	// groupCounts and groupMembers bound one group to about 1,000 bytes.
	groupCounts  = 100
	groupMembers = 12
	// refreshMembers bounds the members that a refresh repeats in full, to about 500 bytes.
	refreshMembers = 8
	// standInRefresh is the number of heartbeats between refreshes of a stand-in.
	standInRefresh = 2
)

// digest tells other data centres of the own one: what has changed and, in a
// refresh, who was heard and the next part of everything.
func (s *sending) digest(urgent, refresh bool) {
	s.far, s.farUrgent = nil, nil
	now := time.Now()
	sum, changed := s.cfg.Dispatcher.Digest(refresh)
	members := s.membersToTell(now, refresh)
	if !changed && len(members) == 0 && !refresh {
		return
	}
	receivers := s.farReceivers(now)
	groups := s.groups(sum, members)
	if refresh {
		groups[0].Alive, groups[0].AgeMs = s.alive(now)
	}
	for i, group := range groups {
		group.Urgent, group.Refresh = urgent, refresh
		report := s.compose()
		report.Groups = []*rpc.GatewayGroup{group}
		if refresh && i == 0 {
			report.Suspects = repeated(s.cfg.Suspects.Export(now))
		}
		s.write(report, scopeFar, receivers)
	}
}

// groups splits a digest into parts that fit datagrams.
func (s *sending) groups(sum dispatch.Digest, members []*rpc.GatewayMember) []*rpc.GatewayGroup {
	configuration, list, source := s.newest()
	var parts []*rpc.GatewayGroup
	counts := sum.Loads
	for len(parts) == 0 || len(counts) > 0 || len(members) > 0 {
		part := &rpc.GatewayGroup{DataCentre: sum.DataCentre, Gateways: uint32(sum.Gateways), Backlog: uint32(sum.Backlog),
			Waiting: encodeWaiting(sum.Waiting), Evidence: encodeEvidence(sum.Outcomes), ConfigurationVersion: configuration, ListVersion: list, Source: source}
		n := min(len(counts), groupCounts)
		for _, c := range counts[:n] {
			part.Upstreams = append(part.Upstreams, uint32(c.Key))
			part.Online = append(part.Online, uint32(c.Online))
			part.Batch = append(part.Batch, uint32(c.Batch))
		}
		counts = counts[n:]
		if n < groupCounts/4 || len(counts) == 0 && n == 0 { // little else is in the part
			m := min(len(members), groupMembers)
			part.Members, members = members[:m], members[m:]
		}
		parts = append(parts, part)
	}
	return parts
}

// newest returns the highest versions known in the own data centre, and where they are.
func (e *Exchange) newest() (configuration, list uint64, source string) {
	view := e.cfg.Holder.View()
	if view.Configuration != nil {
		configuration = view.Configuration.Version
	}
	list, source = view.ListVersion, e.cfg.Self.Address
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.peers {
		if !e.isNear(&p.MemberStatus) || time.Since(p.LastHeard) > collectorSilence {
			continue
		}
		if p.configuration > configuration || p.configuration == configuration && p.list > list {
			configuration, list, source = p.configuration, p.list, p.Address
		}
	}
	return configuration, list, source
}

// memberState is what other data centres are told of a gateway.
type memberState struct {
	incarnation           uint64
	leaving, storeReached bool
	collector             bool
	jobs                  int
	jobsSum               uint64 // of the marks
}

func stateOf(m *MemberStatus) memberState {
	s := memberState{incarnation: m.Incarnation, leaving: m.Leaving, storeReached: m.StoreReached,
		collector: m.Collector, jobs: len(m.TakenJobs)}
	for _, mark := range m.TakenJobs {
		s.jobsSum += mark
	}
	return s
}

// membersToTell returns the gateways of the own data centre whose state has
// changed and, in a refresh, the next ones in turn of those heard lately.
func (s *sending) membersToTell(now time.Time, refresh bool) []*rpc.GatewayMember {
	self := MemberStatus{Member: s.cfg.Self, LastHeard: now, StoreReached: s.storeReached(), Collector: true}
	s.mu.Lock()
	defer s.mu.Unlock()
	self.Leaving, self.TakenJobs = s.leaving, s.taken
	all, told := []*MemberStatus{&self}, []*memberState{&s.told}
	for _, p := range s.peers {
		if s.isNear(&p.MemberStatus) && now.Sub(p.LastHeard) <= lostAfter {
			all, told = append(all, &p.MemberStatus), append(told, &p.told)
		}
	}
	var list []*rpc.GatewayMember
	var unchanged []*MemberStatus
	for i, m := range all {
		if state := stateOf(m); state != *told[i] {
			*told[i] = state
			list = append(list, encodeMember(m, now))
		} else {
			unchanged = append(unchanged, m)
		}
	}
	if refresh {
		slices.SortFunc(unchanged, func(a, b *MemberStatus) int { return cmp.Compare(a.Name, b.Name) })
		for range min(len(unchanged), refreshMembers) {
			s.turn = (s.turn + 1) % len(unchanged)
			list = append(list, encodeMember(unchanged[s.turn], now))
		}
	}
	return list
}

// alive returns the gateways of the own data centre that were heard lately, and
// how long ago.
func (s *sending) alive(now time.Time) (marks, ages []uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	marks, ages = []uint32{memberMark(s.cfg.Self.Name, s.cfg.Self.Incarnation)}, []uint32{0}
	for _, p := range s.peers {
		if s.isNear(&p.MemberStatus) && now.Sub(p.LastHeard) <= lostAfter {
			marks, ages = append(marks, memberMark(p.Name, p.Incarnation)), append(ages, ageMs(&p.MemberStatus, now))
		}
	}
	return marks, ages
}

// memberMark names a process of a gateway in refreshes.
func memberMark(name string, incarnation uint64) uint32 {
	return uint32(xxhash.Sum64String(name) ^ incarnation)
}

func ageMs(m *MemberStatus, now time.Time) uint32 {
	return uint32(max(now.Sub(m.LastHeard), 0).Milliseconds())
}

func encodeMember(m *MemberStatus, now time.Time) *rpc.GatewayMember {
	return &rpc.GatewayMember{Name: m.Name, Incarnation: m.Incarnation, Address: m.Address,
		AgeMs: ageMs(m, now), Leaving: m.Leaving, StoreReached: m.StoreReached,
		TakenJobs: m.TakenJobs, Collector: m.Collector}
}

// farReceivers returns the gateways of other data centres that a digest goes to.
func (e *Exchange) farReceivers(now time.Time) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []receiver
	for _, p := range e.peers {
		if !e.isNear(&p.MemberStatus) && p.due(now) {
			all = append(all, receiver{Address: p.Address, DataCentre: p.DataCentre, Collector: p.Collector, Heard: p.LastHeard})
		}
	}
	return append(farReceivers(all, now), e.unknownSeeds()...)
}
