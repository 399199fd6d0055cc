package batch

import (
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/peer"
)

// Guards against jobs that stay with a lost owner, and against a gateway that
// is cut off and takes the jobs of all others.
func TestShouldClaim(t *testing.T) {
	now := time.Now()
	self := peer.Member{Name: "self", Incarnation: 7}
	seen := func(name string, incarnation uint64, ago time.Duration) peer.MemberStatus {
		return peer.MemberStatus{Member: peer.Member{Name: name, Incarnation: incarnation}, LastHeard: now.Add(-ago)}
	}
	long := 10 * time.Second // more than any stagger
	cases := []struct {
		name    string
		job     Job
		known   time.Duration // how long the owner has been known
		members []peer.MemberStatus
		want    bool
	}{
		{"own", Job{Owner: "self", OwnerIncarnation: 7, Total: 1}, long, nil, false},
		{"of an earlier process of its own", Job{Owner: "self", OwnerIncarnation: 6, Total: 1}, 0, nil, true},
		{"complete", Job{Owner: "b", Total: 1, Listed: 1}, long, nil, false},
		{"ended", Job{Owner: "b", Total: 1, Ended: true}, long, nil, false},
		{"given back", Job{Total: 1}, 0, nil, true},
		{"owner heard", Job{Owner: "b", OwnerIncarnation: 1, Total: 1}, long, []peer.MemberStatus{seen("b", 1, 100*time.Millisecond)}, false},
		{"owner silent, another peer heard", Job{Owner: "b", OwnerIncarnation: 1, Total: 1}, long,
			[]peer.MemberStatus{seen("b", 1, 3*time.Second), seen("c", 1, 0)}, true},
		{"owner silent, as all peers are", Job{Owner: "b", OwnerIncarnation: 1, Total: 1}, long,
			[]peer.MemberStatus{seen("b", 1, 3*time.Second), seen("c", 1, 3*time.Second)}, false},
		{"all peers silent for long", Job{Owner: "b", OwnerIncarnation: 1, Total: 1}, long,
			[]peer.MemberStatus{seen("b", 1, 9*time.Second), seen("c", 1, 9*time.Second)}, true},
		{"never heard, known for a moment", Job{Owner: "b", OwnerIncarnation: 1, Total: 1}, time.Second, nil, false},
		{"taken over by another", Job{Owner: "b", OwnerIncarnation: 1, Total: 1}, long,
			[]peer.MemberStatus{seen("b", 1, 9*time.Second), {Member: peer.Member{Name: "c"}, LastHeard: now, TakenJobs: []uint64{jobMark("j")}}}, false},
		{"own earlier one, taken over by another", Job{Owner: "self", OwnerIncarnation: 6, Total: 1}, long,
			[]peer.MemberStatus{{Member: peer.Member{Name: "c"}, LastHeard: now, TakenJobs: []uint64{jobMark("j")}}}, false},
		{"taken over by one that is lost", Job{Owner: "self", OwnerIncarnation: 6, Total: 1}, long,
			[]peer.MemberStatus{{Member: peer.Member{Name: "c"}, LastHeard: now.Add(-3 * time.Second), TakenJobs: []uint64{jobMark("j")}}}, true},
		{"owner started anew", Job{Owner: "b", OwnerIncarnation: 1, Total: 1}, long, []peer.MemberStatus{seen("b", 2, 0)}, true},
	}
	for _, c := range cases {
		c.job.ID = "j"
		if got := ShouldClaim(&c.job, now.Add(-c.known), self, c.members, now); got != c.want {
			t.Errorf("%s: got %v", c.name, got)
		}
	}
}

// Guards against gateways that all claim a job at the same moment.
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
		t.Errorf("%d gateways claim at once", claims)
	}
}

// Guards against long results that do not fit a row, and against parts joined wrongly.
func TestResultRows(t *testing.T) {
	output := make([]byte, 2*partBytes+5)
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
		t.Errorf("%d rows, joined %d bytes", len(rows), len(joined))
	}
	if _, _, err := parseResultRow([]byte("other")); err == nil {
		t.Error("row of another writer accepted")
	}
}
