// Package placement decides which upstream gets the next request and which
// batch items are preempted. Its functions take a snapshot, do no I/O and read
// no clock. The policies are designed for online traffic that can double within
// a second, online requests of about a second, and batch items of several
// seconds that use the capacity online work leaves free.
package placement

import (
	"slices"
	"time"

	"github.com/magnoliausher/magnoliausher/limit"
)

// Upstream is the state of one upstream in a snapshot.
type Upstream struct {
	ID     string
	Local  bool // in the same data centre as the gateway
	Slots  int
	Online int // online requests in progress, from all gateways
	Batch  int // batch items in progress, from all gateways
	// Degraded: recent failures or silence; used only when no other upstream is left.
	Degraded bool
	// Unavailable: must not be used now, because it refused a connection, reported
	// that it is full, or was ejected.
	Unavailable bool
	// Speed relative to the mean of the service, see package speed. Zero counts as 1.
	Speed float64
}

func (u *Upstream) free() int { return u.Slots - u.Online - u.Batch }

// Random returns a number in [0, n).
type Random func(n int) int

// Contention is the number of online requests that other gateways are expected
// to place before their load reports arrive here.
type Contention struct {
	Local float64 // placed by gateways in the same data centre
	All   float64
	Queue QueueUse
}

// QueueUse says whether a request may queue at an upstream that is full.
type QueueUse uint8

// Uses of the queues of upstreams.
const (
	QueueIfContended QueueUse = iota // where many gateways contend for slots
	QueueAllowed
	QueueForbidden
)

// tier is a class of capacity for online work.
type tier struct {
	degraded, remote bool
	preempting       bool // counts slots held by batch items, which are preempted
	queued           bool // counts up to QueueDepth positions in the upstream's own queue
}

// tiers is ordered from the most preferred to the last resort.
var tiers = []tier{{}, {remote: true}, {preempting: true}, {remote: true, preempting: true}, {remote: true, preempting: true, queued: true},
	{degraded: true}, {degraded: true, remote: true}, {degraded: true, preempting: true}, anySlot}

var anySlot = tier{degraded: true, remote: true, preempting: true}

// QueueDepth is the number of online requests that may queue at an upstream
// itself when gateways contend for the last slots. A queued request takes a
// freed slot immediately instead of after the next load report. One queue
// position costs a wait of 60 to 90 ms, the mean time until one of the slots frees.
const QueueDepth = 1

// minQueueContention is the contention from which the queues of upstreams are used. A
// small number of gateways learns of a freed slot before the upstream would
// reach a queued request.
const minQueueContention = 8

// capacity returns how many requests an upstream can take in a tier; 0 if it does
// not belong to the tier.
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

// PickOnline returns the index of the upstream for an online request, or -1 if
// online work occupies all slots. It prefers free local slots, then free remote
// slots, then slots held by batch items. A tier with less capacity than the
// expected contention is skipped, because all gateways would send to the same
// few upstreams before their load reports arrive. Within a tier it uses the
// power of two choices: of two upstreams drawn in proportion to their capacity,
// the less loaded one, or by speed where the speeds of the service differ (see
// speeds). It is designed for bursts at many gateways that learn of
// each other's load with a delay of 20 to 70 ms.
func PickOnline(list []Upstream, c Contention, random Random) int {
	v := speedsOf(list)
	t, found := v.selectTier(list, c)
	if !found {
		return -1
	}
	if v.differ {
		return v.pickOnline(list, t, c, random)
	}
	a, b := drawUpstream(list, t, random), drawUpstream(list, t, random)
	if lessLoaded(&list[b], &list[a]) {
		return b
	}
	return a
}

// selectTier returns the tier to pick from. Contention never moves requests to
// degraded upstreams.
func (v speeds) selectTier(list []Upstream, c Contention) (best tier, found bool) {
	for _, t := range tiers {
		if t.degraded && found {
			break
		}
		if t.queued && !c.mayQueue() {
			continue
		}
		capacity := v.tierCapacity(list, t)
		if capacity == 0 {
			continue
		}
		best, found = t, true
		need := c.Local
		if t.remote {
			need = c.All
		}
		if float64(capacity) > need {
			break
		}
	}
	return best, found
}

func (c *Contention) mayQueue() bool {
	return c.Queue == QueueAllowed || c.Queue == QueueIfContended && c.All >= minQueueContention
}

func tierCapacity(list []Upstream, t tier) int {
	total := 0
	for i := range list {
		total += t.capacity(&list[i])
	}
	return total
}

// FreeSlots returns the slots that neither online nor batch work holds, of the
// upstreams that are in use.
func FreeSlots(list []Upstream) int { return tierCapacity(list, tier{remote: true}) }

// drawUpstream returns a random upstream of a tier, weighted by its free capacity.
func drawUpstream(list []Upstream, t tier, random Random) int {
	point := random(tierCapacity(list, t))
	for i := range list {
		if point -= t.capacity(&list[i]); point < 0 {
			return i
		}
	}
	panic("random number out of range")
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

// OnlineStartQuota returns how many online requests that wait at this gateway may
// start until the gateways have exchanged load reports again. Gateways divide the
// capacity in proportion to their waiting requests; fraction is as in
// BatchStartQuota.
func OnlineStartQuota(list []Upstream, own, total int, fraction float64) int {
	capacity := tierCapacity(list, anySlot)
	share := float64(capacity) * float64(own) / float64(max(total, own, 1))
	return min(int(share+fraction), own)
}

// ReservePercent is the percentage of the slots that batch work leaves free, see
// limit.Reserve. It covers the arrivals of a doubled load during the 50 ms that
// preemption takes.
const ReservePercent = 6

// BatchStartQuota returns how many batch items a gateway may start until the next
// load reports arrive. Gateways divide the spare slots in proportion to their
// waiting items. fraction is random in [0, 1) and rounds the share up or down, so
// that on average the shares of all gateways add up to the spare slots.
func BatchStartQuota(list []Upstream, own, total int, fraction float64) int {
	room := RoomForBatch(list)
	spare := room.Free - room.Reserved
	if spare <= 0 || own <= 0 {
		return 0
	}
	share := float64(spare) * float64(own) / float64(max(total, own))
	return min(int(share+fraction), own)
}

// BatchRoom is what batch work may use of a service.
type BatchRoom struct {
	Upstreams int // that batch work may use
	Slots     int // of these upstreams
	Free      int // of Slots
	Reserved  int // of Free, for online work
}

// RoomForBatch returns what batch work may use of the upstreams.
func RoomForBatch(list []Upstream) BatchRoom {
	usable := batchUpstreams(list)
	var room BatchRoom
	for i := range list {
		if u := &list[i]; usable(u) {
			room.Upstreams++
			room.Slots += u.Slots
			room.Free += max(u.free(), 0)
		}
	}
	room.Reserved = limit.Reserve(room.Slots, ReservePercent)
	return room
}

// batchUpstreams returns which upstreams batch work may use: the sound ones or, if the
// service has none, the degraded ones.
func batchUpstreams(list []Upstream) func(*Upstream) bool {
	sound := slices.ContainsFunc(list, func(u Upstream) bool { return !u.Unavailable && !u.Degraded })
	return func(u *Upstream) bool { return !u.Unavailable && u.Degraded != sound }
}

// PickBatch returns the index of the upstream for a batch item, or -1 if none has a
// free slot. It prefers local upstreams, then those with the most free slots. Where the
// speeds of the service differ, it prefers slow ones, which leaves the fast slots free
// for online work.
func PickBatch(list []Upstream, random Random) int {
	usable := batchUpstreams(list)
	if v := speedsOf(list); v.differ {
		return v.pickBatch(list, usable, false, random)
	}
	best, ties := -1, 0
	for i := range list {
		u := &list[i]
		if !usable(u) || u.free() <= 0 {
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

// PickUrgentBatch is PickBatch for an item that is short of time: where the speeds of the
// service differ, it prefers fast upstreams.
func PickUrgentBatch(list []Upstream, random Random) int {
	if v := speedsOf(list); v.differ {
		return v.pickBatch(list, batchUpstreams(list), true, random)
	}
	return PickBatch(list, random)
}

// BatchCount is the number of batch items that a gateway, or a whole data centre if
// Name is empty, has on one upstream.
type BatchCount struct {
	DataCentre string
	Name       string
	Items      int
}

// Preemptions returns how many of its batch items the gateway named self preempts
// on an upstream that has more work than slots. Gateways that see the same counts
// reach the same result without coordination, although each knows individual
// gateways of its own data centre only: items are taken from the data centre with
// the most items, and within it from the gateway with the most.
func Preemptions(u *Upstream, holders []BatchCount, dataCentre, self string) int {
	excess := min(-u.free(), u.Batch)
	if excess <= 0 {
		return 0
	}
	dataCentres, gateways := make(map[string]int), make(map[string]int)
	for _, h := range holders {
		dataCentres[h.DataCentre] += h.Items
		if h.DataCentre == dataCentre {
			gateways[h.Name] += h.Items
		}
	}
	return takeFromLargest(gateways, takeFromLargest(dataCentres, excess, dataCentre), self)
}

// takeFromLargest takes items one at a time from the holder with the most, ties
// going to the first name, and returns how many are taken from self. It modifies
// items.
func takeFromLargest(items map[string]int, take int, self string) int {
	fromSelf := 0
	for ; take > 0; take-- {
		largest := ""
		for name, n := range items {
			if n > items[largest] || n == items[largest] && name < largest {
				largest = name
			}
		}
		if items[largest] <= 0 {
			break
		}
		items[largest]--
		if largest == self {
			fromSelf++
		}
	}
	return fromSelf
}

// EstimateWait estimates the queueing time of a new waiter, assuming that each slot
// frees once per service time.
func EstimateWait(waiting, slots int, service time.Duration) time.Duration {
	if slots <= 0 {
		return 0
	}
	return service * time.Duration(waiting+1) / time.Duration(slots)
}
