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
	// urgentInterval is the time over which a collector merges urgent changes.
	urgentInterval = 2 * time.Millisecond
	// maxGroupCounts and maxGroupMembers limit a group to about 1,000 bytes.
	maxGroupCounts  = 100
	maxGroupMembers = 12
	// maxRefreshMembers limits the unchanged members in a refresh to about 500 bytes.
	maxRefreshMembers = 8
	// backupRefreshHeartbeats is the number of heartbeats between refreshes of a
	// backup collector.
	backupRefreshHeartbeats = 2
)

// sendDigest sends a digest of the local data centre to the others. It contains
// what has changed and, in a refresh, the alive members and the next part of the
// full state.
func (s *sendLoop) sendDigest(urgent, refresh bool) {
	s.remoteDigest, s.remoteDigestUrgent = nil, nil
	now := time.Now()
	sum, changed := s.cfg.Dispatcher.Digest(refresh)
	members := s.membersToAnnounce(now, refresh)
	usage := s.dataCentreUsage(refresh, now)
	if !changed && len(members) == 0 && len(usage) == 0 && !refresh {
		return
	}
	receivers := s.remoteReceivers(now)
	groups := s.splitDigest(sum, members, usage)
	if refresh {
		groups[0].Alive, groups[0].AgeMs = s.aliveMembers(now)
	}
	for i, group := range groups {
		group.Urgent, group.Refresh = urgent, refresh
		report := s.newReport()
		report.Groups = []*rpc.GatewayGroup{group}
		if refresh && i == 0 {
			report.Suspects = s.remoteSuspects.Next(true, now)
		}
		s.writeReport(report, scopeRemote, receivers)
	}
}

// splitDigest splits a digest into groups that each fit a datagram.
func (s *sendLoop) splitDigest(sum dispatch.Digest, members []*rpc.GatewayMember, usage []*rpc.GatewayUsage) []*rpc.GatewayGroup {
	configuration, list, source := s.newestVersions()
	var parts []*rpc.GatewayGroup
	loads, speeds := sum.Loads, encodeSpeeds(sum.Speeds)
	for len(parts) == 0 || len(loads) > 0 || len(members) > 0 || len(usage) > 0 {
		part := &rpc.GatewayGroup{DataCentre: sum.DataCentre, Gateways: uint32(sum.Gateways), Backlog: uint32(sum.Backlog.Items), BatchWaiting: encodeWaiting(sum.Backlog.Services),
			Waiting: encodeWaiting(sum.Waiting), Evidence: encodeOutcomes(sum.Outcomes), ConfigurationVersion: configuration, ListVersion: list, Source: source}
		n := min(len(loads), maxGroupCounts)
		for _, c := range loads[:n] {
			part.Upstreams = append(part.Upstreams, uint32(c.Key))
			part.Online = append(part.Online, uint32(c.Online))
			part.Batch = append(part.Batch, uint32(c.Batch))
		}
		loads = loads[n:]
		if n < maxGroupCounts/4 || len(loads) == 0 && n == 0 { // the group has room for members
			m := min(len(members), maxGroupMembers)
			part.Members, members = members[:m], members[m:]
		}
		usage = s.addGroupUsage(part, usage)
		speeds = s.addGroupSpeeds(part, speeds)
		parts = append(parts, part)
	}
	return parts
}

// newestVersions returns the newest versions in the local data centre, and the
// address of a gateway that has them.
func (e *Exchange) newestVersions() (configuration, list uint64, source string) {
	view := e.cfg.Holder.View()
	if view.Configuration != nil {
		configuration = view.Configuration.Version
	}
	list, source = view.ListVersion, e.cfg.Self.Address
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.peers {
		if !e.isLocal(&p.MemberStatus) || time.Since(p.LastHeard) > candidateTimeout {
			continue
		}
		if p.configurationVersion > configuration || p.configurationVersion == configuration && p.listVersion > list {
			configuration, list, source = p.configurationVersion, p.listVersion, p.Address
		}
	}
	return configuration, list, source
}

// announcedState is the state of a gateway that digests announce.
type announcedState struct {
	incarnation           uint64
	leaving, storeReached bool
	collector             bool
	jobCount              int
	jobHashSum            uint64 // sum of the job hashes, which detects changes
}

func announcedStateOf(m *MemberStatus) announcedState {
	s := announcedState{incarnation: m.Incarnation, leaving: m.Leaving, storeReached: m.StoreReached,
		collector: m.Collector, jobCount: len(m.TakenJobs)}
	for _, hash := range m.TakenJobs {
		s.jobHashSum += hash
	}
	return s
}

// membersToAnnounce returns the gateways of the local data centre whose state has
// changed. In a refresh it adds recently heard unchanged ones in rotation.
func (s *sendLoop) membersToAnnounce(now time.Time, refresh bool) []*rpc.GatewayMember {
	self := MemberStatus{Member: s.cfg.Self, LastHeard: now, StoreReached: s.storeReachable(), Collector: true}
	s.mu.Lock()
	defer s.mu.Unlock()
	self.Leaving, self.TakenJobs = s.leaving, s.takenJobs
	all, announced := []*MemberStatus{&self}, []*announcedState{&s.announced}
	for _, p := range s.peers {
		if s.isLocal(&p.MemberStatus) && now.Sub(p.LastHeard) <= unreachableAfter {
			all, announced = append(all, &p.MemberStatus), append(announced, &p.announced)
		}
	}
	var list []*rpc.GatewayMember
	var unchanged []*MemberStatus
	for i, m := range all {
		if state := announcedStateOf(m); state != *announced[i] {
			*announced[i] = state
			list = append(list, encodeMember(m, now))
		} else {
			unchanged = append(unchanged, m)
		}
	}
	if refresh {
		slices.SortFunc(unchanged, func(a, b *MemberStatus) int { return cmp.Compare(a.Name, b.Name) })
		for range min(len(unchanged), maxRefreshMembers) {
			s.refreshIndex = (s.refreshIndex + 1) % len(unchanged)
			list = append(list, encodeMember(unchanged[s.refreshIndex], now))
		}
	}
	return list
}

// aliveMembers returns the hashes of the recently heard gateways of the local
// data centre, and the ages of their last reports in milliseconds.
func (s *sendLoop) aliveMembers(now time.Time) (hashes, ages []uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	hashes, ages = []uint32{memberHash(s.cfg.Self.Name, s.cfg.Self.Incarnation)}, []uint32{0}
	for _, p := range s.peers {
		if s.isLocal(&p.MemberStatus) && now.Sub(p.LastHeard) <= unreachableAfter {
			hashes, ages = append(hashes, memberHash(p.Name, p.Incarnation)), append(ages, ageMs(&p.MemberStatus, now))
		}
	}
	return hashes, ages
}

// memberHash identifies a gateway process in refreshes.
func memberHash(name string, incarnation uint64) uint32 {
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

// remoteReceivers returns the addresses in other data centres that get a digest.
func (e *Exchange) remoteReceivers(now time.Time) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []remoteGateway
	for _, p := range e.peers {
		if !e.isLocal(&p.MemberStatus) && p.allowReport(now) {
			all = append(all, remoteGateway{Address: p.Address, DataCentre: p.DataCentre, Collector: p.Collector, LastHeard: p.LastHeard})
		}
	}
	return append(selectRemoteReceivers(all, now), e.nonPeerSeeds()...)
}
