package peer

import (
	"context"
	"net"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliausher/magnoliausher/dispatch"
	"github.com/magnoliausher/magnoliausher/metric"
	"github.com/magnoliausher/magnoliausher/pause"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// maxPendingGroups limits the groups waiting to be forwarded. Dropped groups are
// repeated by refreshes.
const maxPendingGroups = 64

// readRetryDelay is the delay after a failed read of the socket.
const readRetryDelay = 20 * time.Millisecond

func (e *Exchange) receiveReports(ctx context.Context, conn *net.UDPConn) error {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			e.cfg.Log.Warn().Err(err).Msg("failed to read a report")
			if !pause.For(ctx, readRetryDelay) {
				return nil
			}
			continue
		}
		var report rpc.GatewayReport
		if err := proto.Unmarshal(buffer[:n], &report); err != nil {
			e.cfg.Log.Warn().Err(err).Stringer("from", from).Msg("failed to decode a report")
			continue
		}
		scope := scopeRemote
		if report.DataCentre == e.cfg.Self.DataCentre {
			scope = scopeLocal
		}
		metric.ReportsReceived(scope, n)
		e.learnStreams(report.Streams)
		e.applyReport(&report, from.Addr().Unmap())
	}
}

// applyReport applies the report of a peer unless it is out of date.
func (e *Exchange) applyReport(report *rpc.GatewayReport, from netip.Addr) {
	if report.Sender == "" || report.Sender == e.cfg.Self.Name {
		return
	}
	now := time.Now()
	address := netip.AddrPortFrom(from, uint16(report.Port)).String()
	if !e.recordSender(report, address, now) {
		return
	}
	e.cfg.Suspects.Merge(report.Suspects, now)
	local := report.DataCentre == e.cfg.Self.DataCentre
	if local {
		e.cfg.Dispatcher.MergeReport(report.Sender, decodeReport(report), now)
		e.mergeUsage(report, now)
		if e.isPrimary() {
			notify(e.reportReceived, e.reportReceivedUrgent, report.Urgent)
		}
	}
	for _, g := range report.Groups {
		if g.DataCentre != e.cfg.Self.DataCentre && (local || g.DataCentre == report.DataCentre) {
			e.applyGroup(g, local, now)
		}
	}
	e.requestNewerState(report.ConfigurationVersion, report.ListVersion, address)
}

// forwardTimeout is how long after another gateway has forwarded a group of a data
// centre this gateway, if not primary, need not do so. Refreshes are sent every
// 250 ms.
const forwardTimeout = 600 * time.Millisecond

// applyGroup applies a group of another data centre. A group received from that
// data centre is forwarded locally by the primary collector, or a refresh by any
// receiver if no other gateway forwards.
func (e *Exchange) applyGroup(g *rpc.GatewayGroup, forwarded bool, now time.Time) {
	if len(g.Online) != len(g.Upstreams) || len(g.Batch) != len(g.Upstreams) || len(g.Alive) != len(g.AgeMs) {
		e.cfg.Log.Warn().Str("data_centre", g.DataCentre).Msg("invalid group of a data centre: lists differ in length")
		return
	}
	e.cfg.Dispatcher.MergeDigest(decodeGroup(g), now)
	e.mu.Lock()
	for _, m := range g.Members {
		e.recordMember(m, g.DataCentre, now)
	}
	e.recordAlive(g, now)
	silent := now.Sub(e.lastDigest[g.DataCentre]) > limitLocalTimeout
	e.lastDigest[g.DataCentre] = now
	if forwarded {
		e.lastForwarded[g.DataCentre] = now
	}
	needed := e.role == rolePrimary || g.Refresh && now.Sub(e.lastForwarded[g.DataCentre]) > forwardTimeout
	forwards := !forwarded && needed && len(e.pendingGroups) < maxPendingGroups
	if forwards {
		e.pendingGroups = append(e.pendingGroups, g)
	}
	e.mu.Unlock()
	if silent {
		// Otherwise the usage below would be charged for a partition that has ended: members
		// are next counted with the next report of this gateway, up to 250 ms later.
		e.countMembers(now)
	}
	e.mergeGroupUsage(g, now)
	if forwards {
		notify(e.forward, e.forwardUrgent, g.Urgent)
	}
	e.requestNewerState(g.ConfigurationVersion, g.ListVersion, g.Source)
}

func decodeReport(report *rpc.GatewayReport) dispatch.Report {
	loads := make([]dispatch.UpstreamLoad, 0, len(report.Counts))
	for _, c := range report.Counts {
		loads = append(loads, dispatch.UpstreamLoad{Key: dispatch.Key(c.Upstream), Online: int(c.Online), Batch: int(c.Batch)})
	}
	return dispatch.Report{DataCentre: report.DataCentre, Loads: loads, Backlog: decodeBacklog(report.Backlog, report.BatchWaiting),
		Waiting: decodeWaiting(report.Waiting), Outcomes: decodeOutcomes(report.Evidence),
		Incarnation: report.Incarnation, Speeds: decodeSpeeds(report.Speeds)}
}

func decodeGroup(g *rpc.GatewayGroup) dispatch.Digest {
	digest := dispatch.Digest{DataCentre: g.DataCentre, Gateways: int(g.Gateways), Backlog: decodeBacklog(g.Backlog, g.BatchWaiting),
		Waiting: decodeWaiting(g.Waiting), Outcomes: decodeOutcomes(g.Evidence),
		SpeedSource: g.SpeedSource, Speeds: decodeSpeeds(g.Speeds)}
	for i, key := range g.Upstreams {
		digest.Loads = append(digest.Loads, dispatch.UpstreamLoad{Key: dispatch.Key(key), Online: int(g.Online[i]), Batch: int(g.Batch[i])})
	}
	return digest
}

func decodeBacklog(items uint32, services []*rpc.GatewayWaiting) dispatch.Backlog {
	return dispatch.Backlog{Items: int(items), Services: decodeWaiting(services)}
}

func decodeWaiting(list []*rpc.GatewayWaiting) map[dispatch.Key]int {
	waiting := make(map[dispatch.Key]int, len(list))
	for _, w := range list {
		waiting[dispatch.Key(w.Service)] = int(w.Requests)
	}
	return waiting
}

func decodeOutcomes(list []*rpc.GatewayEvidence) []dispatch.OutcomeStats {
	var outcomes []dispatch.OutcomeStats
	for _, e := range list {
		outcomes = append(outcomes, dispatch.OutcomeStats{Key: dispatch.Key(e.Upstream), Broken: int(e.Broken), Served: int(e.Served),
			Reporters: int(e.Reporters)})
	}
	return outcomes
}

// recordSender updates the sender's status and reports whether the report is its
// newest one.
func (e *Exchange) recordSender(report *rpc.GatewayReport, address string, now time.Time) bool {
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
	if p.Incarnation != report.Incarnation || p.firstHeard.IsZero() {
		e.cfg.Log.Info().Str("peer", report.Sender).Str("address", address).Msg("received the first report of a new peer incarnation")
		p.firstHeard = now
	}
	p.MemberStatus = MemberStatus{
		Member:    Member{Name: report.Sender, Incarnation: report.Incarnation, Address: address, DataCentre: report.DataCentre},
		LastHeard: now, Leaving: report.Leaving, StoreReached: report.StoreReached, TakenJobs: report.TakenJobs, Collector: report.Collector,
	}
	p.sequence, p.configurationVersion, p.listVersion = report.Sequence, report.ConfigurationVersion, report.ListVersion
	return true
}

// recordMember updates the status of a gateway from a digest of its data centre.
// The caller must hold the lock.
func (e *Exchange) recordMember(m *rpc.GatewayMember, dataCentre string, now time.Time) {
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
		p.sequence, p.firstHeard = 0, now
	}
	p.MemberStatus = MemberStatus{
		Member:    Member{Name: m.Name, Incarnation: m.Incarnation, Address: m.Address, DataCentre: dataCentre},
		LastHeard: heard, Leaving: m.Leaving, StoreReached: m.StoreReached, TakenJobs: m.TakenJobs, Collector: m.Collector,
	}
}

// recordAlive updates the gateways that a refresh lists as alive. Unknown ones are
// described in a later refresh. The caller must hold the lock.
func (e *Exchange) recordAlive(g *rpc.GatewayGroup, now time.Time) {
	if len(g.Alive) == 0 {
		return
	}
	ages := make(map[uint32]uint32, len(g.Alive))
	for i, hash := range g.Alive {
		ages[hash] = g.AgeMs[i]
	}
	for _, p := range e.peers {
		if p.DataCentre != g.DataCentre {
			continue
		}
		if age, alive := ages[memberHash(p.Name, p.Incarnation)]; alive {
			if heard := now.Add(-time.Duration(age) * time.Millisecond); heard.After(p.LastHeard) {
				p.LastHeard = heard
			}
		}
	}
}

// requestNewerState requests a fetch from the gateway at address if its versions
// are newer.
func (e *Exchange) requestNewerState(configuration, list uint64, address string) {
	if address == "" || address == e.cfg.Self.Address || !e.isOutdated(configuration, list) {
		return
	}
	select {
	case e.newerPeer <- address:
	default:
	}
}
