package link

import (
	"math"
	"math/rand/v2"
	"time"
)

// Intervals of the control stream.
const (
	// minReportInterval is the minimum time between load reports, and between
	// other frequent fields, of one side.
	minReportInterval = 500 * time.Millisecond
	// heartbeatInterval is the longest time that each side goes without
	// sending a message.
	heartbeatInterval = 2 * time.Second
	// silenceTimeout allows for two late messages before the peer counts as
	// silent.
	silenceTimeout = 2*heartbeatInterval + time.Second
)

// milliseconds32 converts a duration to the wire format, clamped to the
// field's range.
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

// jitter returns a random duration, uniformly distributed between 0.5 d and
// 1.5 d.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)+1))
}
