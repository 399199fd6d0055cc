package peer

import (
	"time"

	"google.golang.org/protobuf/proto"

	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
	"github.com/magnoliausher/magnoliausher/speed"
)

const (
	// speedEntryBytes is the size of an encoded counter: tag and length, key, 2^28 events
	// and 2^28 ms.
	speedEntryBytes = 2 + 5 + 5 + 5
)

// trimSpeeds drops the counters that do not fit the datagram of a report. They are sent
// again when they have changed.
func trimSpeeds(report *rpc.GatewayReport) {
	speeds := report.Speeds
	report.Speeds = nil
	report.Speeds = speeds[:speedEntries(len(speeds), maxReportBytes-proto.Size(report))]
}

// addGroupSpeeds adds to a group as many counters as it has room for, and returns the rest.
func (e *Exchange) addGroupSpeeds(g *rpc.GatewayGroup, speeds []*rpc.GatewaySpeed) (rest []*rpc.GatewaySpeed) {
	n := speedEntries(len(speeds), maxGroupBytes-proto.Size(g))
	if n > 0 {
		g.Speeds, g.SpeedSource = speeds[:n], e.cfg.Self.Incarnation
	}
	return speeds[n:]
}

func speedEntries(wanted, room int) int { return min(wanted, max(room, 0)/speedEntryBytes) }

func encodeSpeeds(list []speed.Counter) []*rpc.GatewaySpeed {
	encoded := make([]*rpc.GatewaySpeed, 0, len(list))
	for _, c := range list {
		encoded = append(encoded, &rpc.GatewaySpeed{Upstream: c.Upstream, Work: c.Work, TimeMs: uint64(c.Time.Milliseconds())})
	}
	return encoded
}

func decodeSpeeds(list []*rpc.GatewaySpeed) []speed.Counter {
	decoded := make([]speed.Counter, 0, len(list))
	for _, c := range list {
		decoded = append(decoded, speed.Counter{Upstream: c.Upstream, Work: c.Work, Time: time.Duration(c.TimeMs) * time.Millisecond})
	}
	return decoded
}
