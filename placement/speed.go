package placement

import "math"

const (
	// EqualSpeeds is the ratio of the highest to the lowest speed of a service up to
	// which placement ignores speeds. Estimates of equal engines seldom differ by more,
	// those of equal services with calls of very different length often do.
	EqualSpeeds = 1.5
	// similarSpeeds is the ratio of two speeds up to which the less loaded of two
	// upstreams is taken, as estimates are noisy.
	similarSpeeds = 1.25
	// lowSpeed is the speed below which the free slots of an upstream are used only if
	// other upstreams of the service have no room. Half the nominal speed is ordinary.
	lowSpeed = 0.4
	// queueCost is what a position in the queue of an upstream costs, in times to the
	// first event without a queue: 60 to 90 ms (see QueueDepth) against 50 ms.
	queueCost = 1.5
	// weightUnit is the weight of one slot at speed 1 in a draw of an upstream.
	weightUnit = 256
)

// speeds says how the speeds of a service take part in placement.
type speeds struct {
	differ bool
}

func speedsOf(list []Upstream) speeds {
	low, high := 0.0, 0.0
	for i := range list {
		if list[i].Unavailable {
			continue
		}
		s := list[i].speed()
		if low == 0 || s < low {
			low = s
		}
		high = max(high, s)
	}
	return speeds{differ: high > EqualSpeeds*low}
}

func (u *Upstream) speed() float64 {
	if u.Speed <= 0 {
		return 1
	}
	return u.Speed
}

func (u *Upstream) isSlow() bool { return u.speed() < lowSpeed }

// capacity is that of the tier. Very slow upstreams have none in the tiers that use
// free slots only, so that batch work on other upstreams is preempted first.
func (v speeds) capacity(u *Upstream, t tier) int {
	if v.differ && u.isSlow() && !t.preempting {
		return 0
	}
	return t.capacity(u)
}

func (v speeds) tierCapacity(list []Upstream, t tier) int {
	total := 0
	for i := range list {
		total += v.capacity(&list[i], t)
	}
	return total
}

// pickOnline draws two upstreams of a tier in proportion to the work that their free
// slots get done, and returns the one with the shorter expected time.
func (v speeds) pickOnline(list []Upstream, t tier, c Contention, random Random) int {
	weight := func(u *Upstream) int {
		capacity := v.capacity(u, t)
		if capacity == 0 {
			return 0
		}
		return max(int(float64(capacity)*u.speed()*weightUnit), 1)
	}
	total := 0
	for i := range list {
		total += weight(&list[i])
	}
	others := c.Local
	if t.remote {
		others = c.All
	}
	expectedTime := func(u *Upstream) float64 {
		room := u.Slots - u.Online - 1
		return (1 + queueCost*expectedExcess(others*float64(weight(u))/float64(total), room)) / u.speed()
	}
	a, b := draw(list, weight, random), draw(list, weight, random)
	switch ratio := expectedTime(&list[a]) / expectedTime(&list[b]); {
	case ratio > similarSpeeds, ratio >= 1/similarSpeeds && lessLoaded(&list[b], &list[a]):
		return b
	}
	return a
}

// expectedExcess returns the mean number of arrivals beyond the room if their number has
// a Poisson distribution.
func expectedExcess(arrivals float64, room int) float64 {
	excess := arrivals - float64(room)
	p := math.Exp(-arrivals)
	for k := range max(room, 0) {
		excess += float64(room-k) * p
		p *= arrivals / float64(k+1)
	}
	return excess
}

// draw returns a random upstream by weight, or -1 if all weights are zero.
func draw(list []Upstream, weight func(*Upstream) int, random Random) int {
	total := 0
	for i := range list {
		total += weight(&list[i])
	}
	if total == 0 {
		return -1
	}
	point := random(total)
	for i := range list {
		if point -= weight(&list[i]); point < 0 {
			return i
		}
	}
	panic("random number out of range")
}

// pickBatch draws two upstreams in proportion to their free slots and returns the
// slower one, or the faster one for an item that is short of time. Local upstreams come first, very
// slow ones last.
func (v speeds) pickBatch(list []Upstream, usable func(*Upstream) bool, urgent bool, random Random) int {
	for _, class := range []struct{ remote, slow bool }{{}, {remote: true}, {slow: true}, {remote: true, slow: true}} {
		weight := func(u *Upstream) int {
			if !usable(u) || u.Local == class.remote || u.isSlow() != class.slow {
				return 0
			}
			return max(u.free(), 0)
		}
		a := draw(list, weight, random)
		if a < 0 {
			continue
		}
		b := draw(list, weight, random)
		ratio := list[a].speed() / list[b].speed()
		if urgent {
			ratio = 1 / ratio
		}
		switch {
		case ratio > similarSpeeds, ratio >= 1/similarSpeeds && lessLoaded(&list[b], &list[a]):
			return b
		}
		return a
	}
	return -1
}
