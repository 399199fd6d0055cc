package peer

import (
	"context"
	"net"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliausher/magnoliausher/dispatch"
	"github.com/magnoliausher/magnoliausher/metric"
	"github.com/magnoliausher/magnoliausher/poison"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

const (
	// roleInterval is the minimum time between two updates of the role.
	roleInterval = 50 * time.Millisecond
	// maxGroupBytes limits the groups in a datagram. With the local work, a few
	// hundred bytes, the datagram stays below the size that is fragmented.
	maxGroupBytes = 1000
	// maxOutcomes limits the outcome statistics in a datagram to about 300 bytes.
	maxOutcomes = 24
)

// sendLoop is the state of the send loop, with the timers of pending reports.
type sendLoop struct {
	*Exchange
	conn         *net.UDPConn
	localReport  <-chan time.Time // fires when a report to the local data centre is due
	remoteDigest <-chan time.Time // fires when a digest to other data centres is due
	// Timers for urgent reports and digests.
	localReportUrgent, remoteDigestUrgent <-chan time.Time
	heartbeats                            int
	refreshIndex                          int // member last sent in a refresh
	localSuspects, remoteSuspects         *poison.Outbox
}

// startTimer starts a timer unless it is already running.
func startTimer(timer *<-chan time.Time, d time.Duration) {
	if *timer == nil {
		*timer = time.After(d)
	}
}

// sendReports sends heartbeats and merged changes until ctx is done.
func (e *Exchange) sendReports(ctx context.Context, conn *net.UDPConn) error {
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	s := &sendLoop{Exchange: e, conn: conn, localSuspects: poison.NewOutbox(e.cfg.Suspects), remoteSuspects: poison.NewOutbox(e.cfg.Suspects)}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.changedUrgent:
			s.reportLocally(true, false)
			s.scheduleDigest(true)
		case <-e.changed:
			startTimer(&s.localReport, s.localMergeInterval())
			s.scheduleDigest(false)
		case <-e.reportReceived:
			s.scheduleDigest(false)
		case <-e.reportReceivedUrgent:
			s.scheduleDigest(true)
		case <-e.forward:
			startTimer(&s.localReport, s.localMergeInterval())
		case <-e.forwardUrgent:
			startTimer(&s.localReportUrgent, urgentInterval)
		case streams := <-e.announcedStreams:
			s.sendStreams(streams)
		case <-s.localReport:
			s.reportLocally(false, false)
		case <-s.localReportUrgent:
			s.reportLocally(true, false)
		case <-s.remoteDigest:
			s.sendDigest(false, false)
		case <-s.remoteDigestUrgent:
			s.sendDigest(true, false)
		case now := <-heartbeat.C:
			e.cfg.Dispatcher.Expire(now)
			e.cfg.Dispatcher.SetRemoteOrganisationLoads(e.organisationLoads.all(now))
			s.reportLocally(false, true)
			s.heartbeats++
			switch e.updateRole(now) {
			case rolePrimary:
				s.sendDigest(false, true)
			case roleBackup:
				if s.heartbeats%backupRefreshHeartbeats == 0 {
					s.sendDigest(false, true)
				}
			case roleNone:
				s.reportToSeeds()
			}
		}
	}
}

// isPrimary reports whether this gateway was the primary collector at the last
// update of its role.
func (e *Exchange) isPrimary() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role == rolePrimary
}

// isCollector reports whether this gateway was a collector at the last update of its
// role.
func (e *Exchange) isCollector() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role != roleNone
}

// scheduleDigest schedules a digest if this gateway is the primary collector.
func (s *sendLoop) scheduleDigest(urgent bool) {
	if s.updateRole(time.Now()) != rolePrimary {
		return
	}
	if urgent {
		startTimer(&s.remoteDigestUrgent, urgentInterval)
	} else {
		startTimer(&s.remoteDigest, dispatch.DigestInterval)
	}
}

// localMergeInterval returns the time over which changes are merged into a report
// to the local data centre.
func (s *sendLoop) localMergeInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, members := time.Now(), 0
	for _, p := range s.peers {
		if s.isLocal(&p.MemberStatus) && now.Sub(p.LastHeard) <= unreachableAfter {
			members++
		}
	}
	return dispatch.ReportInterval(members)
}

func (e *Exchange) isLocal(m *MemberStatus) bool { return m.DataCentre == e.cfg.Self.DataCentre }

// updateRole returns the role of this gateway, updated at most once per roleInterval.
func (e *Exchange) updateRole(now time.Time) role {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.roleUpdated) < roleInterval {
		return e.role
	}
	e.roleUpdated = now
	self := candidate{Name: e.cfg.Self.Name, LastHeard: now, FirstHeard: e.started, Leaving: e.leaving}
	var others []candidate
	for _, p := range e.peers {
		if e.isLocal(&p.MemberStatus) {
			others = append(others, candidate{Name: p.Name, LastHeard: p.LastHeard, FirstHeard: alignFirstHeard(p.firstHeard, e.started), Leaving: p.Leaving})
		}
	}
	r := chooseRole(self, others, now)
	if (r == roleNone) != (e.role == roleNone) {
		e.cfg.Log.Info().Bool("collector", r != roleNone).Int("members", len(others)+1).Msg("cross-data-centre role changed")
	}
	e.role = r
	return r
}

// reportLocally sends the work of this gateway and the pending groups of other
// data centres to the gateways of the local data centre. Only heartbeats carry
// suspects: these are few and can wait, while changes are reported many times a
// second. A collector passes on those of other data centres.
func (s *sendLoop) reportLocally(urgent, heartbeat bool) {
	s.localReport, s.localReportUrgent = nil, nil
	now := time.Now()
	s.countMembers(now)
	receivers := s.localReceivers(now)
	for i, groups := range splitGroups(s.takePendingGroups()) { // at least one datagram
		report := s.newLocalReport()
		report.Urgent = urgent && i == 0
		report.Groups = groups
		if heartbeat && i == 0 {
			report.Suspects = s.localSuspects.Next(s.isCollector(), now)
		}
		speeds := report.Speeds
		report.Speeds = nil // take the room that rate limits leave
		s.addUsage(report, heartbeat, now)
		report.Speeds = speeds
		trimSpeeds(report)
		s.writeReport(report, scopeLocal, receivers)
	}
}

// reportToSeeds announces this process to seeds that are not known members. A
// gateway that is not a collector sends no digests, which would reach them.
func (s *sendLoop) reportToSeeds() {
	s.mu.Lock()
	seeds := s.nonPeerSeeds()
	s.mu.Unlock()
	if len(seeds) > 0 {
		s.writeReport(s.newReport(), scopeRemote, seeds)
	}
}

func encodeWaiting(waiting map[dispatch.Key]int) []*rpc.GatewayWaiting {
	var list []*rpc.GatewayWaiting
	for service, requests := range waiting {
		list = append(list, &rpc.GatewayWaiting{Service: uint32(service), Requests: uint32(requests)})
	}
	return list
}

// encodeOutcomes encodes at most maxOutcomes entries. If more upstreams break
// responses, the upstreams are unlikely to be the cause.
func encodeOutcomes(outcomes []dispatch.OutcomeStats) []*rpc.GatewayEvidence {
	var list []*rpc.GatewayEvidence
	for _, e := range outcomes[:min(len(outcomes), maxOutcomes)] {
		list = append(list, &rpc.GatewayEvidence{Upstream: uint32(e.Key), Broken: uint32(e.Broken), Served: uint32(e.Served),
			Reporters: uint32(e.Reporters)})
	}
	return list
}

// newReport returns a report with the fields for all receivers.
func (e *Exchange) newReport() *rpc.GatewayReport {
	view := e.cfg.Holder.View()
	reached := e.storeReachable()
	e.mu.Lock()
	e.sequence++
	report := &rpc.GatewayReport{
		Sender: e.cfg.Self.Name, Incarnation: e.cfg.Self.Incarnation, Sequence: e.sequence,
		DataCentre: e.cfg.Self.DataCentre, ListVersion: view.ListVersion,
		Leaving: e.leaving, TakenJobs: e.takenJobs, StoreReached: reached, Collector: e.role != roleNone,
	}
	e.mu.Unlock()
	if self, err := netip.ParseAddrPort(e.cfg.Self.Address); err == nil {
		report.Port = uint32(self.Port())
	}
	if view.Configuration != nil {
		report.ConfigurationVersion = view.Configuration.Version
	}
	return report
}

// newLocalReport returns a report that includes the work of this gateway.
func (e *Exchange) newLocalReport() *rpc.GatewayReport {
	report, work := e.newReport(), e.cfg.Dispatcher.Report()
	report.Backlog, report.BatchWaiting = uint32(work.Backlog.Items), encodeWaiting(work.Backlog.Services)
	report.Waiting, report.Evidence = encodeWaiting(work.Waiting), encodeOutcomes(work.Outcomes)
	report.Speeds = encodeSpeeds(work.Speeds)
	for _, c := range work.Loads {
		report.Counts = append(report.Counts, &rpc.GatewayCount{
			Upstream: uint32(c.Key), Online: uint32(c.Online), Batch: uint32(c.Batch)})
	}
	return report
}

func (e *Exchange) storeReachable() bool {
	relay := e.relay.Load()
	return relay != nil && relay.StoreReachable()
}

func (e *Exchange) takePendingGroups() []*rpc.GatewayGroup {
	e.mu.Lock()
	defer e.mu.Unlock()
	groups := e.pendingGroups
	e.pendingGroups = nil
	return groups
}

// splitGroups distributes groups over datagrams. It returns at least one, which
// may be empty.
func splitGroups(groups []*rpc.GatewayGroup) [][]*rpc.GatewayGroup {
	datagrams, size := [][]*rpc.GatewayGroup{nil}, 0
	for _, g := range groups {
		last := len(datagrams) - 1
		if n := proto.Size(g); size > 0 && size+n > maxGroupBytes {
			datagrams, size = append(datagrams, []*rpc.GatewayGroup{g}), n
		} else {
			datagrams[last], size = append(datagrams[last], g), size+n
		}
	}
	return datagrams
}

// localReceivers returns the addresses of the gateways of the local data centre
// that get a report.
func (e *Exchange) localReceivers(now time.Time) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []string
	for _, p := range e.peers {
		if e.isLocal(&p.MemberStatus) && p.allowReport(now) {
			list = append(list, p.Address)
		}
	}
	return list
}

// allowReport reports whether a report may be sent now, and records it as sent.
// It limits the rate of reports to unreachable peers.
func (p *peerState) allowReport(now time.Time) bool {
	if now.Sub(p.LastHeard) > unreachableAfter && now.Sub(p.lastSent) < unreachableReportInterval {
		return false
	}
	p.lastSent = now
	return true
}

// nonPeerSeeds returns the seeds that are not known peers. The caller must
// hold the lock.
func (e *Exchange) nonPeerSeeds() []string {
	var list []string
	for _, seed := range e.seeds {
		if seed != e.cfg.Self.Address && !e.isPeerAddress(seed) {
			list = append(list, seed)
		}
	}
	return list
}

// Metric label values for the receivers of reports.
const (
	scopeLocal  = "near" // gateways of the local data centre
	scopeRemote = "far"  // gateways of other data centres
)

// writeReport sends a report to each address.
func (s *sendLoop) writeReport(report *rpc.GatewayReport, scope string, addresses []string) {
	data, err := proto.Marshal(report)
	if err != nil {
		s.cfg.Log.Error().Err(err).Msg("failed to encode a report")
		return
	}
	for _, address := range addresses {
		receiver, err := netip.ParseAddrPort(address)
		if err != nil {
			s.cfg.Log.Warn().Err(err).Str("address", address).Msg("invalid peer address")
			continue
		}
		// A failed write is treated like a lost datagram; the next report replaces it.
		_, _ = s.conn.WriteToUDPAddrPort(data, receiver)
	}
	metric.ReportsSent(scope, len(addresses), len(data)*len(addresses))
}
