package link

import (
	"math"
	"math/rand/v2"
	"time"
)

// Intervals of the control stream.
const (
	// reportMin separates load reports and other frequent parts of one side.
	reportMin = 500 * time.Millisecond
	// reportMax is the longest time without a message of each side.
	reportMax = 2 * time.Second
	// silentAfter allows two messages to be late before the peer counts as silent.
	silentAfter = 2*reportMax + time.Second
)

// milliseconds32 converts a duration for the wire, clamped to the field's range.
func milliseconds32(d time.Duration) uint32 {
	ms := d.Milliseconds()
	if ms < 0 {
		return 0
	}
	if ms > math.MaxUint32 {
		return math.MaxUint32
	}
	return uint32(ms)
}

// jitter spreads d evenly over 0.5 d to 1.5 d.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)+1))
}
