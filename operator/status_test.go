package operator

import (
	"slices"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/link"
)

// Guards against a status that omits instances with an old version or without a
// report, or that reports convergence before all instances have the version.
func TestStatusCounts(t *testing.T) {
	reportedAt := time.Unix(1, 0)
	versions := []link.InstanceVersion{
		{InstanceID: "a", Version: 7, HeardAt: reportedAt},
		{InstanceID: "b", Version: 6, HeardAt: reportedAt},
		{InstanceID: "c"},
		{InstanceID: "d", Version: 7, HeardAt: reportedAt},
	}
	s := newStatus(5, versions)
	if s.Newest != 7 || s.Lowest != 6 || !slices.Equal(s.Behind, []string{"b"}) || !slices.Equal(s.NeverHeard, []string{"c"}) {
		t.Errorf("%+v", s)
	}
	if !slices.Equal(s.Counts, []VersionCount{{7, 2}, {6, 1}}) {
		t.Errorf("counts %+v", s.Counts)
	}
	both := []link.InstanceVersion{versions[0], versions[3]}
	cases := []struct {
		name        string
		newestKnown uint64
		versions    []link.InstanceVersion
		want        uint64
		done        bool
	}{
		{"all have it", 7, both, 7, true},
		{"one is behind", 7, versions[:2], 0, false},
		{"one never reported", 7, versions[2:], 0, false},
		{"a newer one was accepted", 8, both, 7, false},
		{"the wanted one is not accepted", 7, both, 8, false},
		{"nobody reported", 7, nil, 0, false},
	}
	for _, c := range cases {
		if got := newStatus(c.newestKnown, c.versions).Converged(c.want); got != c.done {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}
