package order

import (
	"time"
)

const rolloutKeyPrefix = "rollout/"

// RolloutKey returns the key of the row that holds a service's permits.
func RolloutKey(service string) string { return rolloutKeyPrefix + service }

// Rollout is the value of the row that holds a service's permits.
type Rollout struct {
	Permits []Permit `json:"permits"`
}

// Permit lets one engine load weights.
type Permit struct {
	Agent         string `json:"agent"`
	Claim         string `json:"claim"` // unique per attempt to acquire it
	WriteSequence uint64 `json:"beat"`  // differs between all writes of one claim
}

// MaxConcurrentLoads returns the number of engines of a service that may load at
// once: a quarter, rounded up, and always fewer than all. The limit of a service
// with a single engine is one, because it could otherwise never change.
func MaxConcurrentLoads(engines int) int {
	limit := (engines + 3) / 4
	return max(1, min(limit, engines-1))
}

// Observations records when an observer first saw the last write of each permit.
type Observations map[Permit]time.Time

// Update records the permits of a row whose read ended at the given time or
// earlier. It removes permits that the row no longer has.
func (s Observations) Update(r Rollout, after time.Time) {
	present := make(map[Permit]bool, len(r.Permits))
	for _, p := range r.Permits {
		present[p] = true
		if _, known := s[p]; !known {
			s[p] = after
		}
	}
	for p := range s {
		if !present[p] {
			delete(s, p)
		}
	}
}

// Expired reports whether, at the start of a read, a permit had been observed
// unchanged for at least the expiry.
func (s Observations) Expired(p Permit, before time.Time, expiry time.Duration) bool {
	since, known := s[p]
	return known && before.Sub(since) >= expiry
}

// AddPermit returns the row with the wanted permit added and expired ones
// removed. It reports false when the limit is reached. An earlier permit of the
// same agent is replaced, because a permit stands for an engine, not a process.
func AddPermit(r Rollout, want Permit, limit int, expired func(Permit) bool) (Rollout, bool) {
	kept := make([]Permit, 0, len(r.Permits)+1)
	for _, p := range r.Permits {
		if p.Agent != want.Agent && !expired(p) {
			kept = append(kept, p)
		}
	}
	if len(kept) >= limit {
		return Rollout{}, false
	}
	return Rollout{Permits: append(kept, want)}, true
}

// Replace returns the row with the permit of the same claim replaced by next. It
// reports false when the row has no permit of that claim.
func (r Rollout) Replace(next Permit) (Rollout, bool) {
	out := Rollout{Permits: append([]Permit(nil), r.Permits...)}
	for i := range out.Permits {
		if out.Permits[i].Claim == next.Claim {
			out.Permits[i] = next
			return out, true
		}
	}
	return Rollout{}, false
}

// Without returns the row without the permit of a claim.
func (r Rollout) Without(claim string) Rollout {
	out := Rollout{}
	for _, p := range r.Permits {
		if p.Claim != claim {
			out.Permits = append(out.Permits, p)
		}
	}
	return out
}

// Has reports whether the row has a permit of an agent, expired or not.
func (r Rollout) Has(agent string) bool {
	for _, p := range r.Permits {
		if p.Agent == agent {
			return true
		}
	}
	return false
}

// Find returns the permit of a claim.
func (r Rollout) Find(claim string) (Permit, bool) {
	for _, p := range r.Permits {
		if p.Claim == claim {
			return p, true
		}
	}
	return Permit{}, false
}

// The waiting agents of a service share these rates, so that the load on the
// platform does not grow with their number.
const (
	firstTriesPerSecond = 20 // per service
	pollsPerSecond      = 5  // reads per service
	minPollInterval     = 2 * time.Second
	initialDelayLimit   = 30 * time.Second
)

// MaxInitialDelay returns the longest random delay of an agent's first attempt to
// acquire a permit. It spreads the attempts of a service's agents after a change.
func MaxInitialDelay(engines int) time.Duration {
	return min(initialDelayLimit, time.Duration(engines)*time.Second/firstTriesPerSecond)
}

// PollInterval returns the mean time between two attempts of a waiting agent.
func PollInterval(engines int) time.Duration {
	return max(minPollInterval, time.Duration(engines)*time.Second/pollsPerSecond)
}
