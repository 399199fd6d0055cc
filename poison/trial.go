package poison

import (
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A blocked fingerprint may be innocent: it was in progress at crashes that something
// else caused. So that a wrong block ends, single requests with it are sent as trials.
// A sound answer clears it everywhere; a crash makes the next trial wait longer.
//
// These decisions take a time and counts, and do no I/O. They answer any number of
// requests with a blocked fingerprint at up to 330 processes: one process at a time
// may start a trial.

const (
	// firstTrialDelay is the time from the crash that blocked a fingerprint to its
	// first trial. Each further crash multiplies it by trialDelayFactor, up to
	// maxTrialDelay.
	firstTrialDelay  = 5 * time.Second
	trialDelayFactor = 3
	maxTrialDelay    = 5 * time.Minute
	// explainedTrialDelay replaces firstTrialDelay for a fingerprint whose crashes another
	// blocked one was in progress at as well, which may be their only cause.
	explainedTrialDelay = time.Second
	// trialStagger is the time that the processes of a lower rank wait for the result
	// of the trial of a higher one. It covers the start of an answer, the check for a
	// crash and the exchange of its result.
	trialStagger = 2 * time.Second
	// trialTimeout is the time after which a process without a result of its trial may
	// start another one.
	trialTimeout = 10 * time.Second
)

// trialDelay returns the time from the last crash of a blocked fingerprint to its next
// trial; excess is the number of crashes since it was blocked.
func trialDelay(excess int) time.Duration {
	delay := firstTrialDelay
	for range excess {
		if delay = min(delay*trialDelayFactor, maxTrialDelay); delay == maxTrialDelay {
			break
		}
	}
	return delay
}

// rankDelay returns how long a process waits for those of a higher rank. The number
// of processes that may start a trial doubles with each step, so that all of a large
// fleet may do so within seconds.
func rankDelay(rank int) time.Duration { return time.Duration(bits.Len(uint(rank))) * trialStagger }

// TrialRank returns the rank of self among the processes that may try a fingerprint, by
// rendezvous hashing. Rank 0 comes first.
func TrialRank(fingerprint uint64, self string, others []string) int {
	own, rank := trialWeight(fingerprint, self), 0
	for _, name := range others {
		if trialWeight(fingerprint, name) > own {
			rank++
		}
	}
	return rank
}

func trialWeight(fingerprint uint64, name string) uint64 {
	var seed [8]byte
	for i := range seed {
		seed[i] = byte(fingerprint >> (8 * i))
	}
	d := xxhash.New()
	_, _ = d.Write(seed[:]) // xxhash never returns an error
	_, _ = d.WriteString(name)
	return d.Sum64()
}
