package peer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Each gateway reports to every other gateway of its data centre. Two collectors
// per data centre send digests of it to the collectors of the other data centres
// and forward the digests they receive. Traffic between data centres therefore
// does not grow with the number of gateways. Every gateway determines the
// collectors by the same rule, without an election: surplus or missing collectors
// delay updates briefly, and errors last no longer than until the next refresh.

const (
	// candidateTimeout excludes a gateway that has missed two heartbeats from
	// being a collector.
	candidateTimeout = 2*heartbeatInterval + 50*time.Millisecond
	// warmUpTime is how long a process receives reports before it counts as warmed
	// up, so that a collector knows the work of the other gateways.
	warmUpTime = 2 * heartbeatInterval
	// startTolerance is how much later than its own start a process first hears
	// gateways that run already or start with it: a heartbeat and its delay.
	startTolerance = heartbeatInterval + 50*time.Millisecond
	// remoteCollectorTimeout is the silence after which a remote collector gets
	// no more digests. If a data centre has no active collector, all its members
	// get them until a collector reports.
	remoteCollectorTimeout = 1500 * time.Millisecond
)

// role is the part of a gateway in the exchange between data centres.
type role uint8

const (
	rolePrimary role = iota // collector that sends digests on changes and refreshes
	roleBackup              // collector that sends refreshes, to cover the loss of the primary
	roleNone                // not a collector
)

// candidate is a gateway of the local data centre that may be a collector.
type candidate struct {
	Name       string
	LastHeard  time.Time // current time for this process
	FirstHeard time.Time // first report of this incarnation
	Leaving    bool
}

// alignFirstHeard returns the time from which a gateway counts as heard for a process
// that began at started. What was heard first within startTolerance counts from the
// start: otherwise processes that start together would all warm up before those that
// they hear, and each would be a collector for a heartbeat.
func alignFirstHeard(firstHeard, started time.Time) time.Time {
	if firstHeard.Sub(started) <= startTolerance {
		return started
	}
	return firstHeard
}

// chooseRole returns the role of self. Gateways that see the same members reach
// the same result.
func chooseRole(self candidate, others []candidate, now time.Time) role {
	preceding := 0
	for _, c := range others {
		if now.Sub(c.LastHeard) <= candidateTimeout && c.precedes(&self, now) {
			preceding++
		}
	}
	return role(min(preceding, int(roleNone)))
}

// precedes reports whether c takes precedence over o as a collector. Gateways
// that stay precede those that are leaving, and warmed-up gateways precede new
// ones. Ties are broken by a hash of the name, which spreads the role over
// instances.
func (c *candidate) precedes(o *candidate, now time.Time) bool {
	if c.Leaving != o.Leaving {
		return o.Leaving
	}
	if warm := now.Sub(c.FirstHeard) >= warmUpTime; warm != (now.Sub(o.FirstHeard) >= warmUpTime) {
		return warm
	}
	a, b := xxhash.Sum64String(c.Name), xxhash.Sum64String(o.Name)
	return a < b || a == b && c.Name < o.Name
}

// remoteGateway is a gateway of another data centre, a possible receiver of digests.
type remoteGateway struct {
	Address    string
	DataCentre string
	Collector  bool
	LastHeard  time.Time
}

// selectRemoteReceivers returns the addresses that get digests: for each data
// centre its active collectors, or all its gateways if it has none.
func selectRemoteReceivers(all []remoteGateway, now time.Time) []string {
	hasCollector := make(map[string]bool)
	active := func(r *remoteGateway) bool { return r.Collector && now.Sub(r.LastHeard) <= remoteCollectorTimeout }
	for i := range all {
		if active(&all[i]) {
			hasCollector[all[i].DataCentre] = true
		}
	}
	var list []string
	for i := range all {
		if r := &all[i]; !hasCollector[r.DataCentre] || active(r) {
			list = append(list, r.Address)
		}
	}
	return list
}
