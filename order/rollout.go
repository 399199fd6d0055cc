package order

import (
	"time"
)

const rolloutKeyPrefix = "rollout/"

// RolloutKey is the row of a service's permits.
func RolloutKey(service string) string { return rolloutKeyPrefix + service }

// Rollout is the value of the row of a service's permits.
type Rollout struct {
	Permits []Permit `json:"permits"`
}

// Permit lets one engine load weights.
type Permit struct {
	Agent string `json:"agent"`
	Claim string `json:"claim"` // unique per attempt to take it
	Beat  uint64 `json:"beat"`  // differs between all writes of one claim
}

// Limit is the number of engines of a service that may load at once: a quarter
// rounded up, and always fewer than all. A service with a single engine could
// otherwise never change, so its limit is one.
func Limit(engines int) int {
	limit := (engines + 3) / 4
	return max(1, min(limit, engines-1))
}

// Sightings records when an observer first saw each permit's last write.
type Sightings map[Permit]time.Time

// Update notes the permits of a row that was read between two times. It forgets
// permits that the row no longer has.
func (s Sightings) Update(r Rollout, after time.Time) {
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

// Expired reports whether a permit was seen unchanged for at least the expiry
// when a read began.
func (s Sightings) Expired(p Permit, before time.Time, expiry time.Duration) bool {
	since, known := s[p]
	return known && before.Sub(since) >= expiry
}

// Take returns the row with the wanted permit added and expired ones removed, or
// false when the limit is reached. An earlier permit of the same agent is
// replaced, because a permit counts an engine and not a process.
func Take(r Rollout, want Permit, limit int, expired func(Permit) bool) (Rollout, bool) {
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

// Replace returns the row with a permit's beat changed, or false when the row
// has no permit of that claim.
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

// Without returns the row without a claim's permit.
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

// Waiting agents of a service share these rates, so that their number does not
// raise the load of the platform.
const (
	firstTryRate  = 20 // first tries per second of one service
	pollRate      = 5  // reads per second of one service
	shortestPoll  = 2 * time.Second
	longestSpread = 30 * time.Second
)

// FirstTrySpread is the time over which the agents of a service spread their
// first tries after a change.
func FirstTrySpread(engines int) time.Duration {
	return min(longestSpread, time.Duration(engines)*time.Second/firstTryRate)
}

// PollInterval is the mean time between two tries of a waiting agent.
func PollInterval(engines int) time.Duration {
	return max(shortestPoll, time.Duration(engines)*time.Second/pollRate)
}
