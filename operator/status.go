package operator

import (
	"cmp"
	"context"
	"net/http"
	"slices"

	"github.com/magnoliausher/magnoliausher/link"
)

// Status is the rollout status of the configuration as known to this entry.
type Status struct {
	Newest        uint64         `json:"newest"`         // highest version known from any source
	Lowest        uint64         `json:"lowest"`         // lowest version reported by any instance
	Entry         uint64         `json:"entry"`          // version of the responding entry
	Confirmed     bool           `json:"confirmed"`      // the platform was reachable, so newest is the accepted version
	PossiblyStale bool           `json:"possibly_stale"` // no source has confirmed the entry's version for 6 s
	Counts        []VersionCount `json:"counts"`         // newest version first
	Behind        []string       `json:"behind"`         // instances below the newest version
	NeverHeard    []string       `json:"never_heard"`    // listed instances that have never reported
}

// VersionCount is the number of instances that have a version in force.
type VersionCount struct {
	Version   uint64 `json:"version"`
	Instances int    `json:"instances"`
}

// Converged reports whether all instances have the newest version and whether
// that is at least the given one.
func (s *Status) Converged(version uint64) bool {
	return s.Newest >= version && s.Newest > 0 && s.Lowest == s.Newest && len(s.NeverHeard) == 0
}

func (a *API) status(w http.ResponseWriter, r *http.Request) error {
	ctx, cancel := context.WithTimeout(r.Context(), readTimeout)
	defer cancel()
	accepted, err := a.config.Store.Version(ctx)
	ownVersion := a.config.Holder.Version()
	versions := []link.InstanceVersion{}
	if a.config.Fleet != nil {
		versions = a.config.Fleet.Versions()
	}
	s := newStatus(max(accepted, ownVersion), versions)
	s.Entry, s.Confirmed = ownVersion, err == nil
	s.PossiblyStale = a.config.PossiblyStale != nil && a.config.PossiblyStale()
	return writeJSON(w, s)
}

// newStatus summarises the instances' reports. newestKnown is the highest version
// known from other sources.
func newStatus(newestKnown uint64, versions []link.InstanceVersion) *Status {
	s := &Status{Newest: newestKnown, Counts: []VersionCount{}, Behind: []string{}, NeverHeard: []string{}}
	counts := make(map[uint64]int)
	for _, v := range versions {
		if v.HeardAt.IsZero() {
			s.NeverHeard = append(s.NeverHeard, v.InstanceID)
			continue
		}
		counts[v.Version]++
		s.Newest = max(s.Newest, v.Version)
	}
	for _, v := range versions {
		if !v.HeardAt.IsZero() && v.Version < s.Newest {
			s.Behind = append(s.Behind, v.InstanceID)
		}
	}
	for version, instances := range counts {
		s.Counts = append(s.Counts, VersionCount{Version: version, Instances: instances})
	}
	slices.SortFunc(s.Counts, func(a, b VersionCount) int { return cmp.Compare(b.Version, a.Version) })
	if len(s.Counts) > 0 {
		s.Lowest = s.Counts[len(s.Counts)-1].Version
	}
	return s
}
