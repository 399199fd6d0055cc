// Package speed estimates how fast the upstreams of a service are relative to each
// other, from counters of work and of the time that it took. It does no I/O and reads
// no clock. It is designed for upstreams that each run one to eight streams of about
// 30 events a second, that take 2.5 times as long in 15 percent of their half-second
// intervals, and whose counters arrive up to 200 ms late or get lost in part.
package speed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// bucketLength and buckets define the window of measurements: two seconds, within
	// which a lasting change has to be followed.
	bucketLength = 250 * time.Millisecond
	buckets      = 8
	// fastShare is the share of the measured time whose slowest rate is the rate of an
	// upstream. Three of four slow half-second intervals in the window, 1 percent of all
	// windows at 15 percent slow intervals, are needed to lower the estimate; the median
	// would take two, 11 percent.
	fastShare = 0.3
	// halfTrustTime and halfTrustWork are the measured slot time and work at which an
	// estimate counts for half, on a logarithmic scale. halfTrustWork is that of units of
	// coarseUnit and longer, and less in proportion for shorter ones: the calls of a plain
	// service differ in size, while the events of streams come at an even pace. An
	// upstream with 8 slots ends about 16 calls of 0.5 to 1.5 s in two seconds: with more
	// trust than half, equal upstreams would not stay within a ratio of 1.5.
	halfTrustTime = 500 * time.Millisecond
	halfTrustWork = 16
	coarseUnit    = 500 * time.Millisecond
	// halfLife is the time after which an estimate that is no longer measured counts for
	// half. An upstream of a fifth of the speed is tried again after about five seconds: its
	// first event takes 250 ms, in which many requests are placed there.
	halfLife = 8 * time.Second
	// forgetAfter is the time after which sources and upstreams without news are dropped.
	forgetAfter = 30 * time.Second
	// overtakenFor is the time within which a lower counter is that of an overtaken report.
	// Later it is a new count, as that of an upstream that was not listed for a while.
	overtakenFor = time.Second
)

// Counter is the work that a process has got from one upstream since the process
// started, and the time that its slots spent on it.
type Counter struct {
	Upstream uint32 // hash of the id
	Work     uint64 // events of streams after the first; calls without a stream count as one
	Time     time.Duration
}

// Source identifies a process that counts.
type Source struct {
	Name        string
	Incarnation uint64 // differs after a restart, as the counters start anew
}

type source struct {
	incarnation uint64
	counters    map[uint32]received
	heard       time.Time
}

// received is the counter of an upstream as last received.
type received struct {
	Counter
	at time.Time
}

type bucket struct {
	work, time float64 // time in seconds
}

func (b *bucket) rate() float64 { return b.work / b.time }

type history struct {
	buckets    [buckets]bucket
	latest     int64 // number of the latest bucket
	rate       float64
	trust      float64 // of rate when it was measured, 0 to 1
	measuredAt time.Time
}

// Estimator holds the measurements of all upstreams. It is not safe for concurrent use.
type Estimator struct {
	sources   map[string]*source
	upstreams map[uint32]*history
}

// New returns an estimator without measurements.
func New() *Estimator {
	return &Estimator{sources: make(map[string]*source), upstreams: make(map[uint32]*history)}
}

// Observe takes the absolute counters of a source, of all or some upstreams. It
// returns the increases since the counters that were received before. The first
// counter of an upstream from a source sets a baseline only, since it may cover a
// long time.
func (e *Estimator) Observe(from Source, counters []Counter, now time.Time) (increases []Counter) {
	s := e.sources[from.Name]
	if s == nil || s.incarnation != from.Incarnation {
		s = &source{incarnation: from.Incarnation, counters: make(map[uint32]received)}
		e.sources[from.Name] = s
	}
	s.heard = now
	for _, c := range counters {
		last, known := s.counters[c.Upstream]
		if known && c == last.Counter {
			continue
		}
		if known && (c.Work < last.Work || c.Time < last.Time) {
			if now.Sub(last.at) < overtakenFor {
				continue // overtaken by a newer report
			}
			known = false
		}
		s.counters[c.Upstream] = received{c, now}
		if known {
			increase := Counter{Upstream: c.Upstream, Work: c.Work - last.Work, Time: c.Time - last.Time}
			e.add(increase, now)
			increases = append(increases, increase)
		}
	}
	return increases
}

func (e *Estimator) add(c Counter, now time.Time) {
	h := e.upstreams[c.Upstream]
	if h == nil {
		h = &history{}
		e.upstreams[c.Upstream] = h
	}
	b := h.advance(now)
	b.work += float64(c.Work)
	b.time += c.Time.Seconds()
}

// advance clears the buckets that have left the window and returns the current one.
func (h *history) advance(now time.Time) *bucket {
	number := now.UnixNano() / int64(bucketLength)
	for i := max(h.latest+1, number-buckets+1); i <= number; i++ {
		h.buckets[i%buckets] = bucket{}
	}
	h.latest = max(h.latest, number)
	return &h.buckets[h.latest%buckets]
}

// measure updates the rate from the window, if it holds measurements.
func (h *history) measure(now time.Time) {
	h.advance(now)
	measured := make([]bucket, 0, buckets)
	total := bucket{}
	for _, b := range h.buckets {
		if b.work > 0 && b.time > 0 {
			measured = append(measured, b)
			total.work += b.work
			total.time += b.time
		}
	}
	if len(measured) == 0 {
		return
	}
	slices.SortFunc(measured, func(a, b bucket) int { return cmp.Compare(b.rate(), a.rate()) })
	left := total.time * fastShare
	for _, b := range measured {
		h.rate = b.rate()
		if left -= b.time; left <= 0 {
			break
		}
	}
	needed := halfTrustWork * min(1, total.time/total.work/coarseUnit.Seconds())
	h.trust = total.time / (total.time + halfTrustTime.Seconds()) * total.work * total.work / (total.work*total.work + needed*needed)
	h.measuredAt = now
}

// trustAt is the trust in the rate, which falls while nothing is measured.
func (h *history) trustAt(now time.Time) float64 {
	return h.trust * math.Exp2(-now.Sub(h.measuredAt).Seconds()/halfLife.Seconds())
}

// Speeds returns the speeds of the upstreams of a service relative to their mean. Those
// without measurements have speed 1.
func (e *Estimator) Speeds(upstreams []uint32, now time.Time) []float64 {
	sum, weights := 0.0, 0.0
	for _, key := range upstreams {
		if h := e.upstreams[key]; h != nil {
			h.measure(now)
			trust := h.trustAt(now)
			sum += h.rate * trust
			weights += trust
		}
	}
	list := make([]float64, len(upstreams))
	for i, key := range upstreams {
		list[i] = 1
		if h := e.upstreams[key]; h != nil && h.rate > 0 && sum > 0 {
			list[i] = math.Pow(h.rate*weights/sum, h.trustAt(now))
		}
	}
	return list
}

// Reset forgets the measurements of an upstream that has restarted.
func (e *Estimator) Reset(upstream uint32) { delete(e.upstreams, upstream) }

// Expire drops sources and upstreams without news.
func (e *Estimator) Expire(now time.Time) {
	for name, s := range e.sources {
		if now.Sub(s.heard) > forgetAfter {
			delete(e.sources, name)
		}
	}
	for key, h := range e.upstreams {
		if now.UnixNano()/int64(bucketLength)-h.latest > int64(forgetAfter/bucketLength) {
			delete(e.upstreams, key)
		}
	}
}
