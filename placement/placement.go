// Package placement decides which upstream gets the next request and which
// batch work gives way. Its functions take a snapshot, do no I/O and read no
// clock. The load they answer: online traffic that doubles within a second,
// short requests of about a second, and batch items of several seconds that
// fill what online work leaves free.
package placement

import "time"

// Upstream is the state of one upstream in a snapshot.
type Upstream struct {
	ID     string
	Local  bool // in the gateway's data centre
	Slots  int
	Online int // online requests of all gateways
	Batch  int // batch items of all gateways
	// Degraded: recent evidence speaks against it; used only when nothing else is left.
	Degraded bool
	// Unavailable: it must not be used now: it refused a connection, said that it is
	// full, or the request has been there before.
	Unavailable bool
}

func (u *Upstream) free() int { return u.Slots - u.Online - u.Batch }

// Random returns a number in [0, n).
type Random func(n int) int

// Contention is the number of online requests that gateways are expected to
// place before they hear of each other's choices.
type Contention struct {
	Local float64 // of gateways in the own data centre
	All   float64
}

// tier is a kind of upstreams for online work, from the best to the last resort.
type tier struct {
	degraded, remote bool
	preempting       bool // slots of batch work count, which gives way
	queued           bool // places in the upstream's own queue count, as far as QueueDepth
}

var tiers = []tier{{}, {remote: true}, {preempting: true}, {remote: true, preempting: true}, {remote: true, preempting: true, queued: true},
	{degraded: true}, {degraded: true, remote: true}, {degraded: true, preempting: true}, anySlot}

var anySlot = tier{degraded: true, remote: true, preempting: true}

// QueueDepth is the number of online requests that may wait at an upstream
// itself where gateways contend for the last slots: a freed slot is taken at
// once, and not only when a gateway has heard of it. One place is worth the wait
// of a slot's share of a request, 60 to 90 ms.
const QueueDepth = 1

// minQueueContention is the contention from which places in the upstreams' queues are
// used. Few gateways hear of a freed slot sooner than the upstream reaches the
// request in its queue.
const minQueueContention = 8

// capacity returns how many requests of a tier an upstream can take; 0 if it is
// not of the tier.
func (t tier) capacity(u *Upstream) int {
	switch {
	case u.Unavailable, u.Degraded && !t.degraded, !u.Local && !t.remote:
		return 0
	case t.queued:
		return max(u.Slots+QueueDepth-u.Online, 0)
	case t.preempting:
		return max(u.Slots-u.Online, 0)
	}
	return max(min(u.free(), u.Slots-u.Online), 0)
}

// PickOnline chooses the upstream for an online request, or -1 if all are taken by
// online work. Free slots nearby come first, then free slots elsewhere, then
// slots that batch work will give up. A kind of slots is passed over if it has
// fewer than gateways will take before they hear of each other: they would all
// send to the same few upstreams. Among the upstreams of a kind it takes the
// emptier of two, drawn by their room. The load it answers: bursts of requests
// at many gateways that know each other's work some 20 to 70 ms late.
func PickOnline(list []Upstream, c Contention, random Random) int {
	t, found := selectTier(list, c)
	if !found {
		return -1
	}
	a, b := drawUpstream(list, t, random), drawUpstream(list, t, random)
	if lessLoaded(&list[b], &list[a]) {
		return b
	}
	return a
}

// selectTier returns the tier to take from. Contention moves requests only among
// sound upstreams.
func selectTier(list []Upstream, c Contention) (best tier, found bool) {
	for _, t := range tiers {
		if t.degraded && found {
			break
		}
		if t.queued && c.All < minQueueContention {
			continue
		}
		room := tierCapacity(list, t)
		if room == 0 {
			continue
		}
		best, found = t, true
		need := c.Local
		if t.remote {
			need = c.All
		}
		if float64(room) > need {
			break
		}
	}
	return best, found
}

func tierCapacity(list []Upstream, t tier) int {
	room := 0
	for i := range list {
		room += t.capacity(&list[i])
	}
	return room
}

// drawUpstream returns an upstream of a tier that has room, at random in proportion to it.
func drawUpstream(list []Upstream, t tier, random Random) int {
	point := random(tierCapacity(list, t))
	for i := range list {
		if point -= t.capacity(&list[i]); point < 0 {
			return i
		}
	}
	panic("random number beyond its bound")
}

func lessLoaded(a, b *Upstream) bool {
	if a.free() != b.free() {
		return a.free() > b.free()
	}
	return a.Online < b.Online
}

func compareBetter(better bool) int {
	if better {
		return -1
	}
	return 1
}

// OnlineStartQuota returns how many of the online requests that wait here may take
// slots of others until the gateways have heard of each other again. Gateways
// divide the room in proportion to their waiting requests; fraction is as in
// BatchStarts.
func OnlineStartQuota(list []Upstream, mine, all int, fraction float64) int {
	room := tierCapacity(list, anySlot)
	share := float64(room) * float64(mine) / float64(max(all, mine, 1))
	return min(int(share+fraction), mine)
}

// ReservePercent is the part of all slots, in percent, that batch work leaves
// free: the arrivals of a doubled load in the 50 ms that batch needs to give way.
const ReservePercent = 6

// BatchStartQuota returns how many items a gateway may start until it hears of the
// others again. Gateways divide the spare slots in proportion to their waiting
// items; fraction, which is random in [0, 1), rounds the share up or down, so
// that on average all shares add up to the spare slots.
func BatchStartQuota(list []Upstream, mine, all int, fraction float64) int {
	spare := spareSlots(list)
	if spare <= 0 || mine <= 0 {
		return 0
	}
	share := float64(spare) * float64(mine) / float64(max(all, mine))
	return min(int(share+fraction), mine)
}

// spareSlots returns the free slots beyond the reserve.
func spareSlots(list []Upstream) int {
	free, slots := 0, 0
	for i := range list {
		if list[i].Unavailable || list[i].Degraded {
			continue
		}
		slots += list[i].Slots
		free += max(list[i].free(), 0)
	}
	return free - (slots*ReservePercent+99)/100
}

// PickBatch chooses the upstream for a batch item, or -1 if none has a free slot.
func PickBatch(list []Upstream, random Random) int {
	best, ties := -1, 0
	for i := range list {
		u := &list[i]
		if u.Unavailable || u.Degraded || u.free() <= 0 {
			continue
		}
		c := -1
		if best >= 0 {
			b := &list[best]
			c = b.free() - u.free()
			if u.Local != b.Local {
				c = compareBetter(u.Local)
			}
		}
		switch {
		case c < 0:
			best, ties = i, 1
		case c == 0:
			ties++
			if random(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// BatchCount is a count of batch items on one upstream: of a gateway, or of a whole
// data centre if it has no name.
type BatchCount struct {
	DataCentre string
	Name       string
	Items      int
}

// Preemptions returns how many of its batch items the gateway named self gives up
// on an upstream that holds more than its slots. All gateways that see the
// same counts agree on who gives up how many, though each knows the single
// gateways of its own data centre only: the data centre with the most items
// gives way first, and in it the gateway with the most.
func Preemptions(u *Upstream, holders []BatchCount, dataCentre, self string) int {
	over := min(-u.free(), u.Batch)
	if over <= 0 {
		return 0
	}
	centres, members := make(map[string]int), make(map[string]int)
	for _, h := range holders {
		centres[h.DataCentre] += h.Items
		if h.DataCentre == dataCentre {
			members[h.Name] += h.Items
		}
	}
	return takeFromLargest(members, takeFromLargest(centres, over, dataCentre), self)
}

// takeFromLargest takes items one by one from whoever has the most, the first by
// name among equals, and returns how many are taken from self. It changes items.
func takeFromLargest(items map[string]int, take int, self string) int {
	mine := 0
	for ; take > 0; take-- {
		most := ""
		for name, n := range items {
			if n > items[most] || n == items[most] && name < most {
				most = name
			}
		}
		if items[most] <= 0 {
			break
		}
		items[most]--
		if most == self {
			mine++
		}
	}
	return mine
}

// Waiter is a queued online request.
type Waiter struct {
	Priority  int
	Arrived   time.Time
	Objective time.Time // a slot after this is too late for the answer to be on time
}

// Next returns the index of the waiter to serve first. Requests that can still
// be on time come before those that cannot, so that a backlog makes only its
// own requests late. Both groups go by priority, then by arrival.
func Next(waiters []Waiter, now time.Time) int {
	best := -1
	for i := range waiters {
		if best < 0 || servedBefore(&waiters[i], &waiters[best], now) {
			best = i
		}
	}
	return best
}

func servedBefore(a, b *Waiter, now time.Time) bool {
	aTimely, bTimely := a.Objective.After(now), b.Objective.After(now)
	if aTimely != bTimely {
		return aTimely
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.Arrived.Before(b.Arrived)
}

// EstimateWait estimates how long a new waiter stays in the queue: each slot frees
// once per service time.
func EstimateWait(waiting, slots int, service time.Duration) time.Duration {
	if slots <= 0 {
		return 0
	}
	return service * time.Duration(waiting+1) / time.Duration(slots)
}
