package batch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliausher/magnoliausher/peer"
)

const (
	// ownerTimeout is how long an owner may be silent before it counts as lost.
	// Reports are sent every 250 ms, and a job is due 18 s after its submission.
	ownerTimeout = 1500 * time.Millisecond
	// isolatedOwnerTimeout replaces ownerTimeout on a gateway that hears no peer at
	// all: it is more likely partitioned than the only survivor.
	isolatedOwnerTimeout = 4 * time.Second
	// claimStagger is the delay per rendezvous rank before a gateway claims a job,
	// so that few gateways try at once.
	claimStagger = 400 * time.Millisecond
	// restartGrace gives a restarted owner time to reclaim its own jobs first.
	restartGrace = time.Second
)

// ShouldClaim reports whether the gateway self should claim a job now. It covers
// jobs whose owner was killed, frozen, partitioned or shut down. seen is the time
// when this gateway last saw the owner claim or write the job's row: an owner that
// only does not report, but lists results, keeps its job. A job that another
// gateway has taken over is left to that gateway, even while it cannot write the
// job's row.
func ShouldClaim(j *Job, seen time.Time, self peer.Member, members []peer.MemberStatus, now time.Time) bool {
	if j.Closed() || j.Owner == self.Name && j.OwnerIncarnation == self.Incarnation {
		return false
	}
	for i := range members {
		if now.Sub(members[i].LastHeard) < ownerTimeout && slices.Contains(members[i].TakenJobs, jobHash(j.ID)) {
			return false
		}
	}
	if j.Owner == self.Name {
		return true // owned by an earlier process of this gateway
	}
	wait := time.Duration(rendezvousRank(j.ID, self.Name, members, now)) * claimStagger
	lost := lostSince(j, seen, members, now)
	return !lost.IsZero() && now.Sub(lost) >= wait
}

// lostSince returns the time from which the owner counts as lost, or the zero
// time if it does not.
func lostSince(j *Job, seen time.Time, members []peer.MemberStatus, now time.Time) time.Time {
	if j.Owner == "" {
		return seen
	}
	timeout := isolatedOwnerTimeout
	var owner *peer.MemberStatus
	for i := range members {
		if members[i].Name == j.Owner {
			owner = &members[i]
		} else if now.Sub(members[i].LastHeard) < ownerTimeout {
			timeout = ownerTimeout
		}
	}
	lastHeard := seen
	if owner != nil && owner.LastHeard.After(lastHeard) {
		if owner.Incarnation != j.OwnerIncarnation {
			return seen.Add(restartGrace) // the owning process has been replaced
		}
		lastHeard = owner.LastHeard
	}
	if now.Sub(lastHeard) < timeout {
		return time.Time{}
	}
	return lastHeard.Add(timeout)
}

// rendezvousRank returns the rank of a gateway among the live ones for a job, by
// rendezvous (highest random weight) hashing. Rank 0 is the preferred gateway.
func rendezvousRank(job, self string, members []peer.MemberStatus, now time.Time) int {
	ownWeight, rank := hashWeight(job, self), 0
	for i := range members {
		alive := now.Sub(members[i].LastHeard) < ownerTimeout && !members[i].Leaving
		if alive && hashWeight(job, members[i].Name) > ownWeight {
			rank++
		}
	}
	return rank
}

func hashWeight(job, name string) uint64 { return xxhash.Sum64String(job + "\x00" + name) }

// jobHash identifies a job in the reports between gateways.
func jobHash(id string) uint64 { return xxhash.Sum64String(id) }
