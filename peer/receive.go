package peer

import (
	"context"
	"net"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliausher/magnoliausher/dispatch"
	"github.com/magnoliausher/magnoliausher/pause"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// maxPending bounds the groups that wait to be passed on; a refresh brings
// everything again.
const maxPending = 64

// readPause follows a failed read of the socket.
const readPause = 20 * time.Millisecond

func (e *Exchange) receive(ctx context.Context, conn *net.UDPConn) error {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			e.cfg.Log.Warn().Err(err).Msg("reading a report failed")
			if !pause.For(ctx, readPause) {
				return nil
			}
			continue
		}
		var report rpc.GatewayReport
		if err := proto.Unmarshal(buffer[:n], &report); err != nil {
			e.cfg.Log.Warn().Err(err).Stringer("from", from).Msg("report not understood")
			continue
		}
		e.take(&report, from.Addr().Unmap())
	}
}

// take applies a peer's report.
func (e *Exchange) take(report *rpc.GatewayReport, from netip.Addr) {
	if report.Sender == "" || report.Sender == e.cfg.Self.Name {
		return
	}
	now := time.Now()
	address := netip.AddrPortFrom(from, uint16(report.Port)).String()
	if !e.note(report, address, now) {
		return
	}
	e.cfg.Suspects.Merge(report.Suspects, now)
	near := report.DataCentre == e.cfg.Self.DataCentre
	if near {
		e.cfg.Dispatcher.MergeReport(report.Sender, decodeReport(report), now)
		if e.speaks() {
			notify(e.heard, e.heardUrgent, report.Urgent)
		}
	}
	for _, g := range report.Groups {
		if g.DataCentre != e.cfg.Self.DataCentre && (near || g.DataCentre == report.DataCentre) {
			e.takeGroup(g, near, now)
		}
	}
	e.compareVersions(report.ConfigurationVersion, report.ListVersion, address)
}

// passedOnFor: a data centre of which another gateway has passed on news this
// lately needs nobody else to do it; refreshes come each 250 ms.
const passedOnFor = 600 * time.Millisecond

// takeGroup applies what was told of another data centre. Who hears it from
// there passes it on: the speaker, or anyone if nobody else does.
func (e *Exchange) takeGroup(g *rpc.GatewayGroup, passedOn bool, now time.Time) {
	if len(g.Online) != len(g.Upstreams) || len(g.Batch) != len(g.Upstreams) || len(g.Alive) != len(g.AgeMs) {
		e.cfg.Log.Warn().Str("data_centre", g.DataCentre).Msg("report of a data centre not understood")
		return
	}
	e.cfg.Dispatcher.MergeDigest(decodeGroup(g), now)
	e.mu.Lock()
	for _, m := range g.Members {
		e.noteMember(m, g.DataCentre, now)
	}
	e.noteAlive(g, now)
	if passedOn {
		e.passedOn[g.DataCentre] = now
	}
	needed := e.role == speaker || g.Refresh && now.Sub(e.passedOn[g.DataCentre]) > passedOnFor
	pass := !passedOn && needed && len(e.pending) < maxPending
	if pass {
		e.pending = append(e.pending, g)
	}
	e.mu.Unlock()
	if pass {
		notify(e.passOn, e.passUrgent, g.Urgent)
	}
	e.compareVersions(g.ConfigurationVersion, g.ListVersion, g.Source)
}

func decodeReport(report *rpc.GatewayReport) dispatch.Report {
	counts := make([]dispatch.UpstreamLoad, 0, len(report.Counts))
	for _, c := range report.Counts {
		counts = append(counts, dispatch.UpstreamLoad{Key: dispatch.Key(c.Upstream), Online: int(c.Online), Batch: int(c.Batch)})
	}
	return dispatch.Report{DataCentre: report.DataCentre, Loads: counts, Backlog: int(report.Backlog),
		Waiting: decodeWaiting(report.Waiting), Outcomes: decodeEvidence(report.Evidence)}
}

func decodeGroup(g *rpc.GatewayGroup) dispatch.Digest {
	group := dispatch.Digest{DataCentre: g.DataCentre, Gateways: int(g.Gateways), Backlog: int(g.Backlog),
		Waiting: decodeWaiting(g.Waiting), Outcomes: decodeEvidence(g.Evidence)}
	for i, key := range g.Upstreams {
		group.Loads = append(group.Loads, dispatch.UpstreamLoad{Key: dispatch.Key(key), Online: int(g.Online[i]), Batch: int(g.Batch[i])})
	}
	return group
}

func decodeWaiting(list []*rpc.GatewayWaiting) map[dispatch.Key]int {
	waiting := make(map[dispatch.Key]int, len(list))
	for _, w := range list {
		waiting[dispatch.Key(w.Service)] = int(w.Requests)
	}
	return waiting
}

func decodeEvidence(list []*rpc.GatewayEvidence) []dispatch.OutcomeStats {
	var evidence []dispatch.OutcomeStats
	for _, e := range list {
		evidence = append(evidence, dispatch.OutcomeStats{Key: dispatch.Key(e.Upstream), Broken: int(e.Broken), Served: int(e.Served),
			Reporters: int(e.Reporters)})
	}
	return evidence
}

// note records the sender and reports whether the report is its newest.
func (e *Exchange) note(report *rpc.GatewayReport, address string, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peers[report.Sender]
	if p == nil {
		p = &peerState{}
		e.peers[report.Sender] = p
	}
	if p.Incarnation == report.Incarnation && report.Sequence <= p.sequence {
		return false
	}
	if p.Incarnation != report.Incarnation || p.since.IsZero() {
		e.cfg.Log.Info().Str("peer", report.Sender).Str("address", address).Msg("peer heard")
		p.since = now
	}
	p.MemberStatus = MemberStatus{
		Member:    Member{Name: report.Sender, Incarnation: report.Incarnation, Address: address, DataCentre: report.DataCentre},
		LastHeard: now, Leaving: report.Leaving, StoreReached: report.StoreReached, TakenJobs: report.TakenJobs, Collector: report.Collector,
	}
	p.sequence, p.configuration, p.list = report.Sequence, report.ConfigurationVersion, report.ListVersion
	return true
}

// noteMember records what a collector tells of a gateway of its data centre. The
// caller holds the lock.
func (e *Exchange) noteMember(m *rpc.GatewayMember, dataCentre string, now time.Time) {
	if m.Name == "" || m.Name == e.cfg.Self.Name {
		return
	}
	heard := now.Add(-time.Duration(m.AgeMs) * time.Millisecond)
	p := e.peers[m.Name]
	if p == nil {
		p = &peerState{}
		e.peers[m.Name] = p
	}
	if !heard.After(p.LastHeard) {
		return
	}
	if p.Incarnation != m.Incarnation {
		p.sequence, p.since = 0, now
	}
	p.MemberStatus = MemberStatus{
		Member:    Member{Name: m.Name, Incarnation: m.Incarnation, Address: m.Address, DataCentre: dataCentre},
		LastHeard: heard, Leaving: m.Leaving, StoreReached: m.StoreReached, TakenJobs: m.TakenJobs, Collector: m.Collector,
	}
}

// noteAlive records which gateways a collector has heard. Those that are not
// known yet are described in a later refresh. The caller holds the lock.
func (e *Exchange) noteAlive(g *rpc.GatewayGroup, now time.Time) {
	if len(g.Alive) == 0 {
		return
	}
	ages := make(map[uint32]uint32, len(g.Alive))
	for i, mark := range g.Alive {
		ages[mark] = g.AgeMs[i]
	}
	for _, p := range e.peers {
		if p.DataCentre != g.DataCentre {
			continue
		}
		if age, alive := ages[memberMark(p.Name, p.Incarnation)]; alive {
			if heard := now.Add(-time.Duration(age) * time.Millisecond); heard.After(p.LastHeard) {
				p.LastHeard = heard
			}
		}
	}
}

// compareVersions asks for the state of a gateway that knows more.
func (e *Exchange) compareVersions(configuration, list uint64, address string) {
	if address == "" || address == e.cfg.Self.Address || !e.isBehind(configuration, list) {
		return
	}
	select {
	case e.behind <- address:
	default:
	}
}
