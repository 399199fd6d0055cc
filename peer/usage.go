package peer

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliausher/magnoliausher/limit"
	"github.com/magnoliausher/magnoliausher/metric"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

const (
	// maxReportBytes is the size up to which usage fills a report, so that the datagram
	// is not fragmented.
	maxReportBytes = 1200
	// usageEntryBytes is the largest usual size of an entry: two numbers of 32 bits, a
	// counter below 2^35 and the framing.
	usageEntryBytes = 20
	// minUsageEntries are sent in a report that is larger already, as otherwise a
	// constantly large report would never tell any usage.
	minUsageEntries = 8
	// limitLocalTimeout is the silence of a gateway of the local data centre, or of the
	// collectors of another one, after which rate limits shrink to the share of those
	// that are heard: a lost report and a late one. Until then both sides of a partition
	// may take the same tokens, so that it is shorter than other time-outs; a wrong
	// detection costs tokens until the next report.
	limitLocalTimeout = 450 * time.Millisecond
	// limitRemoteTimeout is the same for a gateway of another data centre. What
	// collectors report of it in refreshes is up to 580 ms old.
	limitRemoteTimeout = 750 * time.Millisecond
	// memberRowsTimeout is the age at which a process that has not read the member rows
	// counts those that it hears as all. A read takes 50 to 200 ms, and failed ones are
	// repeated each 50 to 400 ms.
	memberRowsTimeout = time.Second
	// startingFor is the age up to which the limiter is told of each report's sender at once.
	startingFor = 2 * time.Second
	// unlearntSpent stands for the tokens spent in entries of a process that has just started
	// and knows none. Builds that do not know it ignore the tokens of such a process.
	unlearntSpent = math.MaxUint32
	// maxDigestUsage limits the entries of a digest to one group or two.
	maxDigestUsage = 48
)

// countMembers tells the limiter and the dispatcher how many gateways were heard lately and
// are known. Those that announced that they leave are not counted.
func (e *Exchange) countMembers(now time.Time) {
	alive, known := 1, 1
	e.mu.Lock()
	for _, p := range e.peers {
		if p.Leaving {
			continue
		}
		known++
		age := now.Sub(p.LastHeard)
		if age <= limitLocalTimeout || !e.isLocal(&p.MemberStatus) && age <= limitRemoteTimeout && now.Sub(e.lastDigest[p.DataCentre]) <= limitLocalTimeout {
			alive++
		}
	}
	e.mu.Unlock()
	if e.cfg.Dispatcher != nil {
		e.cfg.Dispatcher.SetMembers(alive, known, now)
	}
	if e.cfg.Limits == nil {
		return
	}
	if !e.membersRead.Load() && now.Sub(e.started) < memberRowsTimeout {
		known = 0 // so far only those that have reported
	}
	if e.cfg.Limits.SetMembers(alive, known, now) {
		metric.StartAllowanceAdded()
		e.cfg.Log.Info().Int("gateways_heard", alive).Int("gateways_known", known).Dur("age", now.Sub(e.started)).
			Msg("gateways have started together; rate limits begin with half of the excess that they allow")
	}
}

// countMembersAtStart does the same after a report while this process is starting, since
// requests wait for the first reports. Later the calls before own reports suffice.
func (e *Exchange) countMembersAtStart(now time.Time) {
	if now.Sub(e.started) < startingFor {
		e.countMembers(now)
	}
}

// addUsage adds this gateway's use of rate limits to a report: what has changed lately
// and, in a heartbeat, the next part of everything.
func (e *Exchange) addUsage(report *rpc.GatewayReport, all bool, now time.Time) {
	if e.cfg.Limits == nil {
		return
	}
	limit := max((maxReportBytes-proto.Size(report))/usageEntryBytes, minUsageEntries)
	// Before the entries: those of an established process carry the tokens spent.
	established := e.cfg.Limits.Established(now)
	report.Usage = encodeUsage(e.cfg.Limits.Usage(all, limit, now))
	report.Usage = e.addOrganisationLoads(report.Usage, nil, all)
	report.UsageEstablished = len(report.Usage) > 0 && established
}

// dataCentreUsage returns the use of rate limits in the local data centre for a digest.
func (e *Exchange) dataCentreUsage(all bool, now time.Time) []*rpc.GatewayUsage {
	if e.cfg.Limits == nil {
		return nil
	}
	list := encodeUsage(e.cfg.Limits.DataCentreUsage(all, maxDigestUsage, now))
	return e.addOrganisationLoads(list, e.organisationLoads.inDataCentre(now), all)
}

// addGroupUsage adds to a group as much usage as it has room for, and returns the rest.
func (e *Exchange) addGroupUsage(g *rpc.GatewayGroup, usage []*rpc.GatewayUsage) (rest []*rpc.GatewayUsage) {
	n := min(len(usage), max((maxGroupBytes-proto.Size(g))/usageEntryBytes, minUsageEntries))
	if n > 0 {
		g.Usage, g.UsageEstablished = usage[:n], e.cfg.Limits.Established(time.Now())
		g.Collector, g.CollectorIncarnation = e.cfg.Self.Name, e.cfg.Self.Incarnation
	}
	return usage[n:]
}

// mergeUsage passes on what a gateway of the local data centre reports.
func (e *Exchange) mergeUsage(report *rpc.GatewayReport, now time.Time) {
	if e.cfg.Limits == nil {
		return
	}
	from := limit.Source{Name: report.Sender, Incarnation: report.Incarnation, Established: report.UsageEstablished}
	e.cfg.Limits.Merge(from, decodeUsage(report.Usage), now)
	e.countMembersAtStart(now)
	e.mergeOrganisationLoads(loadSource{report.DataCentre, report.Sender}, report.Usage, now)
}

// mergeGroupUsage passes on what a collector of another data centre reports.
func (e *Exchange) mergeGroupUsage(g *rpc.GatewayGroup, now time.Time) {
	if e.cfg.Limits == nil || g.Collector == "" {
		return
	}
	from := limit.Source{Name: g.Collector, Incarnation: g.CollectorIncarnation, Established: g.UsageEstablished}
	e.cfg.Limits.MergeDataCentre(g.DataCentre, from, decodeUsage(g.Usage), now)
	e.countMembersAtStart(now)
	e.mergeOrganisationLoads(loadSource{dataCentre: g.DataCentre}, g.Usage, now)
}

func encodeUsage(list []limit.Usage) []*rpc.GatewayUsage {
	encoded := make([]*rpc.GatewayUsage, 0, len(list))
	for _, u := range list {
		spent := uint32(unlearntSpent)
		if u.Learnt {
			spent = uint32(min(math.Ceil(u.Spent*1000), unlearntSpent-1))
		}
		encoded = append(encoded, &rpc.GatewayUsage{Organisation: u.Organisation, Admitted: u.Admitted, SpentMilli: spent})
	}
	return encoded
}

func decodeUsage(list []*rpc.GatewayUsage) []limit.Usage {
	decoded := make([]limit.Usage, 0, len(list))
	for _, u := range list {
		if u.LoadOnly {
			continue
		}
		decoded = append(decoded, limit.Usage{Organisation: u.Organisation, Admitted: u.Admitted, Spent: float64(u.SpentMilli) / 1000,
			Learnt: u.SpentMilli != unlearntSpent})
	}
	return decoded
}
