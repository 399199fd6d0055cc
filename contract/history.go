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

// AcceptedVersion is one version in the history.
type AcceptedVersion struct {
	Version   uint64 `json:"version"`
	ChangeID  string `json:"change_id"`
	SheetDate string `json:"sheet_date"`
	Revision  int    `json:"revision"`
}

// History returns up to limit accepted versions, newest first.
func (s *Store) History(ctx context.Context, limit int) ([]AcceptedVersion, error) {
	current, err := s.readCurrent(ctx)
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
			return nil, trace.Wrap(err, "parse version in row key %s", row.Key)
		}
		var r historyValue
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

// VersionOf returns the version created by the change, or 0 if the history does
// not contain it.
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

// LoadVersion returns the document of an accepted version, or nil if the history
// does not contain the version.
func (s *Store) LoadVersion(ctx context.Context, version uint64) (*Document, error) {
	row, err := s.readHistory(ctx, version)
	if err != nil || row.Object == "" {
		return nil, err
	}
	return s.readBody(ctx, currentValue{Version: version, ChangeID: row.ChangeID, Object: row.Object})
}
