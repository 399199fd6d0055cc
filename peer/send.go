package peer

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliausher/magnoliausher/dispatch"
	"github.com/magnoliausher/magnoliausher/metric"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

const (
	// roleInterval is the least time between two looks at the own role.
	roleInterval = 50 * time.Millisecond
	// datagramSize bounds the groups in a datagram, so that with the own work, of
	// some hundred bytes, it is not fragmented.
	datagramSize = 1000
	// maxEvidence bounds the evidence in a datagram to about 300 bytes.
	maxEvidence = 24
)

// sending is the state of the send loop: what is due, and when.
type sending struct {
	*Exchange
	conn *net.UDPConn
	near <-chan time.Time // report to the own data centre
	far  <-chan time.Time // digest to the others
	// Urgent versions of both.
	nearUrgent, farUrgent <-chan time.Time
	beats                 int // heartbeats
	turn                  int // of the members, in refreshes
}

// after starts a timer unless it runs.
func after(timer *<-chan time.Time, d time.Duration) {
	if *timer == nil {
		*timer = time.After(d)
	}
}

// send reports changes, merged over an interval, and heartbeats.
func (e *Exchange) send(ctx context.Context, conn *net.UDPConn) error {
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	s := &sending{Exchange: e, conn: conn}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.urgent:
			s.reportNear(true, false)
			s.speak(true)
		case <-e.change:
			after(&s.near, s.nearPause())
			s.speak(false)
		case <-e.heard:
			s.speak(false)
		case <-e.heardUrgent:
			s.speak(true)
		case <-e.passOn:
			after(&s.near, s.nearPause())
		case <-e.passUrgent:
			after(&s.nearUrgent, urgentInterval)
		case <-s.near:
			s.reportNear(false, false)
		case <-s.nearUrgent:
			s.reportNear(true, false)
		case <-s.far:
			s.digest(false, false)
		case <-s.farUrgent:
			s.digest(true, false)
		case now := <-heartbeat.C:
			e.cfg.Dispatcher.Expire(now)
			s.reportNear(false, true)
			s.beats++
			switch e.updateRole(now) {
			case speaker:
				s.digest(false, true)
			case standIn:
				if s.beats%standInRefresh == 0 {
					s.digest(false, true)
				}
			case noSpeaker:
				s.toSeeds()
			}
		}
	}
}

// speaks reports whether this gateway spoke for its data centre when it last looked.
func (e *Exchange) speaks() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role == speaker
}

// speak has a digest sent soon if this gateway speaks for its data centre.
func (s *sending) speak(urgent bool) {
	if s.updateRole(time.Now()) != speaker {
		return
	}
	if urgent {
		after(&s.farUrgent, urgentInterval)
	} else {
		after(&s.far, dispatch.DigestInterval)
	}
}

// nearPause is the time over which reports to the own data centre are merged.
func (s *sending) nearPause() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, members := time.Now(), 0
	for _, p := range s.peers {
		if s.isNear(&p.MemberStatus) && now.Sub(p.LastHeard) <= lostAfter {
			members++
		}
	}
	return dispatch.ReportInterval(members)
}

func (e *Exchange) isNear(m *MemberStatus) bool { return m.DataCentre == e.cfg.Self.DataCentre }

// updateRole returns the present role of this gateway.
func (e *Exchange) updateRole(now time.Time) role {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.roleSet) < roleInterval {
		return e.role
	}
	e.roleSet = now
	self := candidate{Name: e.cfg.Self.Name, Heard: now, Since: e.started, Leaving: e.leaving}
	var others []candidate
	for _, p := range e.peers {
		if e.isNear(&p.MemberStatus) {
			others = append(others, candidate{Name: p.Name, Heard: p.LastHeard, Since: p.since, Leaving: p.Leaving})
		}
	}
	r := roleOf(self, others, now)
	if (r == noSpeaker) != (e.role == noSpeaker) {
		e.cfg.Log.Info().Bool("collector", r != noSpeaker).Int("members", len(others)+1).Msg("role between data centres")
	}
	e.role = r
	return r
}

// reportNear sends the own work, and the news of other data centres, to the
// gateways of the own one. Heartbeats carry the suspects as well, which are few
// and may wait for one, while changes are reported many times a second.
func (s *sending) reportNear(urgent, heartbeat bool) {
	s.near, s.nearUrgent = nil, nil
	now := time.Now()
	receivers := s.nearReceivers(now)
	for i, groups := range packed(s.takePending()) { // at least one datagram
		report := s.composeNear()
		report.Urgent = urgent && i == 0
		report.Groups = groups
		if heartbeat && i == 0 {
			report.Suspects = repeated(s.cfg.Suspects.Export(now))
		}
		s.write(report, scopeNear, receivers)
	}
}

// toSeeds tells seeds that are not known as members of this process, as long as
// nobody else can.
func (s *sending) toSeeds() {
	s.mu.Lock()
	seeds := s.unknownSeeds()
	s.mu.Unlock()
	if len(seeds) > 0 {
		s.write(s.compose(), scopeFar, seeds)
	}
}

func encodeWaiting(waiting map[dispatch.Key]int) []*rpc.GatewayWaiting {
	var list []*rpc.GatewayWaiting
	for service, requests := range waiting {
		list = append(list, &rpc.GatewayWaiting{Service: uint32(service), Requests: uint32(requests)})
	}
	return list
}

// encodeEvidence leaves out what goes beyond maxEvidence: with that many
// upstreams that break answers, the fault is hardly theirs.
func encodeEvidence(evidence []dispatch.OutcomeStats) []*rpc.GatewayEvidence {
	var list []*rpc.GatewayEvidence
	for _, e := range evidence[:min(len(evidence), maxEvidence)] {
		list = append(list, &rpc.GatewayEvidence{Upstream: uint32(e.Key), Broken: uint32(e.Broken), Served: uint32(e.Served),
			Reporters: uint32(e.Reporters)})
	}
	return list
}

// compose returns a report with what all receivers are told.
func (e *Exchange) compose() *rpc.GatewayReport {
	view := e.cfg.Holder.View()
	reached := e.storeReached()
	e.mu.Lock()
	e.sequence++
	report := &rpc.GatewayReport{
		Sender: e.cfg.Self.Name, Incarnation: e.cfg.Self.Incarnation, Sequence: e.sequence,
		DataCentre: e.cfg.Self.DataCentre, ListVersion: view.ListVersion,
		Leaving: e.leaving, TakenJobs: e.taken, StoreReached: reached, Collector: e.role != noSpeaker,
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

// composeNear returns a report with the own work as well.
func (e *Exchange) composeNear() *rpc.GatewayReport {
	report, own := e.compose(), e.cfg.Dispatcher.Report()
	report.Backlog, report.Waiting, report.Evidence = uint32(own.Backlog), encodeWaiting(own.Waiting), encodeEvidence(own.Outcomes)
	for _, c := range own.Loads {
		report.Counts = append(report.Counts, &rpc.GatewayCount{
			Upstream: uint32(c.Key), Online: uint32(c.Online), Batch: uint32(c.Batch)})
	}
	return report
}

func (e *Exchange) storeReached() bool {
	relay := e.relay.Load()
	return relay != nil && relay.StoreReachable()
}

// repeated returns the suspects with more than one crash, at most maxSuspects.
// Most requests that were in progress at a single crash did not cause it.
func repeated(all []*rpc.Suspect) []*rpc.Suspect {
	list := slices.DeleteFunc(all, func(s *rpc.Suspect) bool { return len(s.CrashIds) < 2 })
	return list[:min(len(list), maxSuspects)]
}

func (e *Exchange) takePending() []*rpc.GatewayGroup {
	e.mu.Lock()
	defer e.mu.Unlock()
	groups := e.pending
	e.pending = nil
	return groups
}

// packed distributes groups over datagrams; the first one may be empty.
func packed(groups []*rpc.GatewayGroup) [][]*rpc.GatewayGroup {
	datagrams, size := [][]*rpc.GatewayGroup{nil}, 0
	for _, g := range groups {
		last := len(datagrams) - 1
		if n := proto.Size(g); size > 0 && size+n > datagramSize {
			datagrams, size = append(datagrams, []*rpc.GatewayGroup{g}), n
		} else {
			datagrams[last], size = append(datagrams[last], g), size+n
		}
	}
	return datagrams
}

// nearReceivers returns the gateways of the own data centre.
func (e *Exchange) nearReceivers(now time.Time) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []string
	for _, p := range e.peers {
		if e.isNear(&p.MemberStatus) && p.due(now) {
			list = append(list, p.Address)
		}
	}
	return list
}

// due reports whether a report may be sent, and notes it. Those to a peer that
// has been silent for long are rare.
func (p *peerState) due(now time.Time) bool {
	if now.Sub(p.LastHeard) > lostAfter && now.Sub(p.sent) < lostInterval {
		return false
	}
	p.sent = now
	return true
}

// unknownSeeds returns the seeds that are no known members. The caller holds the lock.
func (e *Exchange) unknownSeeds() []string {
	var list []string
	for _, seed := range e.seeds {
		if seed != e.cfg.Self.Address && !e.known(seed) {
			list = append(list, seed)
		}
	}
	return list
}

// Receivers of reports, as the metrics name them.
const (
	scopeNear = "near" // of the own data centre
	scopeFar  = "far"  // of others
)

// write sends a report to addresses.
func (s *sending) write(report *rpc.GatewayReport, scope string, addresses []string) {
	data, err := proto.Marshal(report)
	if err != nil {
		s.cfg.Log.Error().Err(err).Msg("report not encoded")
		return
	}
	for _, address := range addresses {
		receiver, err := netip.ParseAddrPort(address)
		if err != nil {
			s.cfg.Log.Warn().Err(err).Str("address", address).Msg("peer has no usable address")
			continue
		}
		// A datagram that cannot be sent is as good as lost; the next one replaces it.
		_, _ = s.conn.WriteToUDPAddrPort(data, receiver)
	}
	metric.ReportsSent(scope, len(addresses), len(data)*len(addresses))
}
