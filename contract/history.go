package contract

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// MaxHistory is the largest number of versions that History returns.
const MaxHistory = historyLength

// AcceptedVersion is one version of the history.
type AcceptedVersion struct {
	Version   uint64 `json:"version"`
	ChangeID  string `json:"change_id"`
	SheetDate string `json:"sheet_date"`
	Revision  int    `json:"revision"`
}

// History returns the last accepted versions, the newest first, at most limit.
func (s *Store) History(ctx context.Context, limit int) ([]AcceptedVersion, error) {
	current, err := s.current(ctx)
	if err != nil || current.Version == 0 {
		return nil, err
	}
	limit = min(limit, MaxHistory)
	after := uint64(0)
	if current.Version > uint64(limit) {
		after = current.Version - uint64(limit)
	}
	rows, err := s.platform.Scan(ctx, historyPrefix, historyKey(after), limit)
	if err != nil {
		return nil, trace.Wrap(err, "scan configuration history")
	}
	versions := make([]AcceptedVersion, 0, len(rows))
	for _, row := range rows {
		version, err := strconv.ParseUint(strings.TrimPrefix(row.Key, historyPrefix), 10, 64)
		if err != nil {
			return nil, trace.Wrap(err, "key %s", row.Key)
		}
		var r record
		if err := json.Unmarshal(row.Value, &r); err != nil {
			return nil, trace.Wrap(err, "decode row %s", row.Key)
		}
		versions = append(versions, AcceptedVersion{
			Version: version, ChangeID: r.ChangeID, SheetDate: r.SheetDate, Revision: r.Revision,
		})
	}
	slices.Reverse(versions)
	return versions, nil
}

// VersionOf returns the version that a change became, or 0 when the history
// does not hold it.
func (s *Store) VersionOf(ctx context.Context, changeID string) (uint64, error) {
	versions, err := s.History(ctx, MaxHistory)
	if err != nil {
		return 0, err
	}
	for _, v := range versions {
		if v.ChangeID == changeID {
			return v.Version, nil
		}
	}
	return 0, nil
}

// LoadVersion returns an accepted document, or nil when the history does not
// hold its version.
func (s *Store) LoadVersion(ctx context.Context, version uint64) (*Document, error) {
	row, err := s.record(ctx, version)
	if err != nil || row.Object == "" {
		return nil, err
	}
	return s.body(ctx, head{Version: version, ChangeID: row.ChangeID, Object: row.Object})
}
