package peer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Reports go from each gateway to each other one of its data centre. Two
// collectors, which every gateway finds by the same rule, sum up their data
// centre for the collectors of the others, and pass on what those tell. So the
// bytes between data centres do not grow with the number of gateways, and
// nobody has to be elected: two collectors too many or none for a moment make
// knowledge later, and never wrong for longer than a refresh.

const (
	// collectorSilence: a gateway that has missed two heartbeats speaks for nobody.
	collectorSilence = 2*heartbeatInterval + 50*time.Millisecond
	// settleTime is how long a process listens before it speaks for others, so
	// that it knows their work.
	settleTime = 2 * heartbeatInterval
	// collectorExpiry: collectors of other data centres that have been silent for
	// this long are no longer told; all members there are, until some speak.
	collectorExpiry = 1500 * time.Millisecond
)

// role of a gateway in the exchange between data centres.
type role uint8

const (
	speaker   role = iota // sends digests as soon as anything changes
	standIn               // sends refreshes, so that the loss of the speaker leaves no gap
	noSpeaker             // sends none
)

// candidate is a gateway of the own data centre that may speak for it.
type candidate struct {
	Name    string
	Heard   time.Time // now for the own process
	Since   time.Time // when its incarnation was first heard
	Leaving bool
}

// roleOf returns the role of self. Gateways that see the same members agree.
func roleOf(self candidate, others []candidate, now time.Time) role {
	before := 0
	for _, c := range others {
		if now.Sub(c.Heard) <= collectorSilence && c.before(&self, now) {
			before++
		}
	}
	return role(min(before, int(noSpeaker)))
}

// before reports whether c speaks rather than o: gateways that stay before
// those that leave, those that know the others before those that have just
// started, then by a hash of the name, which spreads the role over instances.
func (c *candidate) before(o *candidate, now time.Time) bool {
	if c.Leaving != o.Leaving {
		return o.Leaving
	}
	if s := now.Sub(c.Since) >= settleTime; s != (now.Sub(o.Since) >= settleTime) {
		return s
	}
	a, b := xxhash.Sum64String(c.Name), xxhash.Sum64String(o.Name)
	return a < b || a == b && c.Name < o.Name
}

// receiver is a gateway of another data centre that may be told.
type receiver struct {
	Address    string
	DataCentre string
	Collector  bool
	Heard      time.Time
}

// farReceivers returns who is told of the own data centre: the collectors of
// each other one, or all its gateways if none of them has spoken lately.
func farReceivers(all []receiver, now time.Time) []string {
	speaks := make(map[string]bool)
	current := func(r *receiver) bool { return r.Collector && now.Sub(r.Heard) <= collectorExpiry }
	for i := range all {
		if current(&all[i]) {
			speaks[all[i].DataCentre] = true
		}
	}
	var list []string
	for i := range all {
		if r := &all[i]; !speaks[r.DataCentre] || current(r) {
			list = append(list, r.Address)
		}
	}
	return list
}
