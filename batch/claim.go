package batch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliausher/magnoliausher/peer"
)

const (
	// ownerSilence: an owner whose reports, due every 250 ms, have stopped for
	// this long is taken as lost. A job is due 18 s after it came.
	ownerSilence = 1500 * time.Millisecond
	// aloneSilence applies to a gateway that hears no peer at all: it is more
	// likely cut off than the last one left.
	aloneSilence = 4 * time.Second
	// claimStagger is the head start of each gateway over the next one in the
	// order that a job's id gives, so that few of them try at once.
	claimStagger = 400 * time.Millisecond
	// restartGrace leaves the jobs of a restarted owner to itself at first.
	restartGrace = time.Second
)

// ShouldClaim decides whether a gateway takes over a job now. The load it
// answers: jobs whose owner was killed, frozen, cut off or shut down. seen is
// when this gateway first saw the job with its owner. A job that another
// gateway has taken over is left to it, even while it cannot write the row.
func ShouldClaim(j *Job, seen time.Time, self peer.Member, members []peer.MemberStatus, now time.Time) bool {
	if j.closed() || j.Owner == self.Name && j.OwnerIncarnation == self.Incarnation {
		return false
	}
	for i := range members {
		if now.Sub(members[i].LastHeard) < ownerSilence && slices.Contains(members[i].TakenJobs, jobMark(j.ID)) {
			return false
		}
	}
	if j.Owner == self.Name {
		return true // of an earlier process of this gateway
	}
	wait := time.Duration(rank(j.ID, self.Name, members, now)) * claimStagger
	lost := lostSince(j, seen, members, now)
	return !lost.IsZero() && now.Sub(lost) >= wait
}

// lostSince returns when the owner counts as lost; zero if it does not.
func lostSince(j *Job, seen time.Time, members []peer.MemberStatus, now time.Time) time.Time {
	if j.Owner == "" {
		return seen
	}
	silence := aloneSilence
	var owner *peer.MemberStatus
	for i := range members {
		if members[i].Name == j.Owner {
			owner = &members[i]
		} else if now.Sub(members[i].LastHeard) < ownerSilence {
			silence = ownerSilence
		}
	}
	last := seen
	if owner != nil && owner.LastHeard.After(last) {
		if owner.Incarnation != j.OwnerIncarnation {
			return seen.Add(restartGrace) // the process that owned it is gone
		}
		last = owner.LastHeard
	}
	if now.Sub(last) < silence {
		return time.Time{}
	}
	return last.Add(silence)
}

// rank is the place of a gateway among those heard, in an order of the job's own.
func rank(job, self string, members []peer.MemberStatus, now time.Time) int {
	own, before := weight(job, self), 0
	for i := range members {
		heard := now.Sub(members[i].LastHeard) < ownerSilence && !members[i].Leaving
		if heard && weight(job, members[i].Name) > own {
			before++
		}
	}
	return before
}

func weight(job, name string) uint64 { return xxhash.Sum64String(job + "\x00" + name) }

// jobMark names a job in the reports of gateways.
func jobMark(id string) uint64 { return xxhash.Sum64String(id) }
