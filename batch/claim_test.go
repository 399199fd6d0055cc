package batch

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/peer"
)

// Guards against jobs that stay with a lost owner, and against a partitioned
// gateway that claims the jobs of all others.
func TestShouldClaim(t *testing.T) {
	now := time.Now()
	self := peer.Member{Name: "self", Incarnation: 7}
	seen := func(name string, incarnation uint64, ago time.Duration) peer.MemberStatus {
		return peer.MemberStatus{Member: peer.Member{Name: name, Incarnation: incarnation}, LastHeard: now.Add(-ago)}
	}
	longAgo := 10 * time.Second // longer than any stagger
	cases := []struct {
		name    string
		job     Job
		known   time.Duration // how long ago the job was first seen with its owner
		members []peer.MemberStatus
		want    bool
	}{
		{"own", Job{Owner: "self", OwnerIncarnation: 7, Total: 1}, longAgo, nil, false},
		{"owned by an earlier process of the gateway", Job{Owner: "self", OwnerIncarnation: 6, Total: 1}, 0, nil, true},
		{"complete", Job{Owner: "b", Total: 1, Listed: 1}, longAgo, nil, false},
		{"ended", Job{Owner: "b", Total: 1, Ended: true}, longAgo, nil, false},
		{"released by its owner", Job{Total: 1}, 0, nil, true},
		{"owner heard", Job{Owner: "b", OwnerIncarnation: 1, Total: 1}, longAgo, []peer.MemberStatus{seen("b", 1, 100*time.Millisecond)}, false},
		{"owner silent, another peer heard", Job{Owner: "b", OwnerIncarnation: 1, Total: 1}, longAgo,
			[]peer.MemberStatus{seen("b", 1, 3*time.Second), seen("c", 1, 0)}, true},
		{"owner and all peers silent", Job{Owner: "b", OwnerIncarnation: 1, Total: 1}, longAgo,
			[]peer.MemberStatus{seen("b", 1, 3*time.Second), seen("c", 1, 3*time.Second)}, false},
		{"owner and all peers silent for a long time", Job{Owner: "b", OwnerIncarnation: 1, Total: 1}, longAgo,
			[]peer.MemberStatus{seen("b", 1, 9*time.Second), seen("c", 1, 9*time.Second)}, true},
		{"owner never heard, job seen recently", Job{Owner: "b", OwnerIncarnation: 1, Total: 1}, time.Second, nil, false},
		{"taken over by another gateway", Job{Owner: "b", OwnerIncarnation: 1, Total: 1}, longAgo,
			[]peer.MemberStatus{seen("b", 1, 9*time.Second), {Member: peer.Member{Name: "c"}, LastHeard: now, TakenJobs: []uint64{jobHash("j")}}}, false},
		{"owned by an earlier process, taken over by another gateway", Job{Owner: "self", OwnerIncarnation: 6, Total: 1}, longAgo,
			[]peer.MemberStatus{{Member: peer.Member{Name: "c"}, LastHeard: now, TakenJobs: []uint64{jobHash("j")}}}, false},
		{"taken over by a gateway that is lost", Job{Owner: "self", OwnerIncarnation: 6, Total: 1}, longAgo,
			[]peer.MemberStatus{{Member: peer.Member{Name: "c"}, LastHeard: now.Add(-3 * time.Second), TakenJobs: []uint64{jobHash("j")}}}, true},
		{"owner restarted", Job{Owner: "b", OwnerIncarnation: 1, Total: 1}, longAgo, []peer.MemberStatus{seen("b", 2, 0)}, true},
	}
	for _, c := range cases {
		c.job.ID = "j"
		if got := ShouldClaim(&c.job, now.Add(-c.known), self, c.members, now); got != c.want {
			t.Errorf("%s: got %v", c.name, got)
		}
	}
}

// Guards against taking a job from an owner that does not report but lists results.
func TestOwnerThatWritesIsAlive(t *testing.T) {
	now := time.Now()
	m := newMirror(zerolog.Nop())
	members := []peer.MemberStatus{{Member: peer.Member{Name: "b", Incarnation: 1}, LastHeard: now.Add(-time.Minute)},
		{Member: peer.Member{Name: "c"}, LastHeard: now}}
	m.applyJob(storedRow(t, Job{ID: "j", Owner: "b", OwnerIncarnation: 1, Total: 3}, 1), now.Add(-time.Minute))
	m.applyJob(storedRow(t, Job{ID: "j", Owner: "b", OwnerIncarnation: 1, Total: 3, Listed: 1}, 2), now.Add(-time.Second))
	e, _ := m.get("j")
	if ShouldClaim(e.Job(), e.ownerSeen, peer.Member{Name: "self"}, members, now) {
		t.Error("claimed a second after the owner listed a result")
	}
	later := now.Add(2 * time.Second)
	if members[1].LastHeard = later; !ShouldClaim(e.Job(), e.ownerSeen, peer.Member{Name: "self"}, members, later) {
		t.Error("not claimed 3 s after the owner's last write")
	}
	released := now.Add(-time.Second)
	m.applyJob(storedRow(t, Job{ID: "j", Total: 3, Listed: 1}, 3), released)
	if e, _ = m.get("j"); e.ownerSeen != released {
		t.Errorf("released at %v, seen at %v", released, e.ownerSeen)
	}
}

// Guards against gateways that all claim a job at the same time.
func TestClaimsAreStaggered(t *testing.T) {
	now := time.Now()
	names := []string{"a", "b", "c", "d"}
	claims := 0
	for _, self := range names {
		var members []peer.MemberStatus
		for _, other := range names {
			if other != self {
				members = append(members, peer.MemberStatus{Member: peer.Member{Name: other}, LastHeard: now})
			}
		}
		if ShouldClaim(&Job{ID: "j", Total: 1}, now, peer.Member{Name: self}, members, now) {
			claims++
		}
	}
	if claims != 1 {
		t.Errorf("%d gateways claim the job at once, want 1", claims)
	}
}

// Guards against result rows that exceed the size limit, and against parts of a
// long result that are joined incorrectly.
func TestResultRows(t *testing.T) {
	output := make([]byte, 2*maxPartBytes+5)
	for i := range output {
		output[i] = byte('a' + i%26)
	}
	var joined string
	rows := resultRows(Result{Item: "i", Output: string(output)})
	for n, value := range rows {
		part, more, err := parseResultRow(value)
		if err != nil || part.Item != "i" || more != (n < len(rows)-1) {
			t.Fatalf("row %d: %v, more %v, %v", n, part.Item, more, err)
		}
		joined += part.Output
	}
	if len(rows) != 3 || joined != string(output) {
		t.Errorf("%d rows with %d bytes in total do not restore the output", len(rows), len(joined))
	}
	if _, _, err := parseResultRow([]byte("other")); err == nil {
		t.Error("invalid result row accepted")
	}
}
