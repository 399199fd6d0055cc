package poison

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
	"github.com/magnoliausher/magnoliausher/storage"
)

const (
	rowPrefix     = "suspect/" // followed by fingerprint, slash, crash id, in hex
	scanPage      = 1000
	rowsPerCommit = 50
	// saversPerSuspect is the number of entries that write a suspect, so that it
	// is kept although one of them is lost with its upstreams.
	saversPerSuspect = 2
	sweepInterval    = 10 * time.Minute
)

// saveBackoff is the pause after a failed write.
var saveBackoff = storage.Backoff{Base: 100 * time.Millisecond, Max: 10 * time.Second}

// Persister keeps suspects in the platform's table, so that a fleet that has lost
// all its processes at once still knows them. A row says that a request was in
// progress at one crash, with the time until which that counts. Rows are facts
// that never conflict, so they are written without conditions. The times are
// wall-clock times; a clock that differs shifts the end of a block by as much.
type Persister struct {
	Table *Table
	Rows  storage.Table
	Rank  func() (rank, entries int) // of this entry among all entries
	Log   zerolog.Logger

	loaded bool
	saved  uint64 // sequence number of Table up to which rows are written
}

// Load merges the suspects of the rows into the table. Run writes those that
// this entry saves once more, since crashes may have been added meanwhile.
func (k *Persister) Load(ctx context.Context) error {
	now := time.Now()
	after := ""
	for {
		rows, err := k.Rows.Scan(ctx, rowPrefix, after, scanPage)
		if err != nil {
			return trace.Wrap(err, "reading suspects")
		}
		k.Table.Merge(suspectsOf(rows, now), now)
		if len(rows) < scanPage {
			k.loaded = true
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}

// Run loads the suspects unless Load has succeeded, then writes new ones until
// ctx ends.
func (k *Persister) Run(ctx context.Context) {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for failures := 0; ctx.Err() == nil; {
		changed := k.Table.NextChange()
		if err := k.step(ctx); err != nil {
			k.Log.Warn().Err(err).Msg("keeping suspects failed")
			saveBackoff.Wait(ctx, failures)
			failures++
			continue
		}
		failures = 0
		select {
		case <-ctx.Done():
		case <-changed:
		case <-sweep.C:
			k.sweep(ctx)
		}
	}
}

func (k *Persister) step(ctx context.Context) error {
	if !k.loaded {
		if err := k.Load(ctx); err != nil {
			return err
		}
	}
	now := time.Now()
	suspects, sequence := k.Table.ExportSince(k.saved, now)
	if err := k.save(ctx, suspects, now); err != nil {
		return err
	}
	k.saved = sequence
	return nil
}

func (k *Persister) save(ctx context.Context, suspects []*rpc.Suspect, now time.Time) error {
	rank, entries := k.Rank()
	var writes []storage.Write
	for _, s := range suspects {
		if !saves(s.GetFingerprint(), rank, entries) {
			continue
		}
		expires := now.Add(time.Duration(s.GetExpiresInMs()) * time.Millisecond)
		for _, crash := range s.GetCrashIds() {
			writes = append(writes, storage.Write{
				Key:    rowKey(s.GetFingerprint(), crash),
				Value:  strconv.AppendInt(nil, expires.UnixMilli(), 10),
				Always: true,
			})
		}
	}
	for start := 0; start < len(writes); start += rowsPerCommit {
		part := writes[start:min(start+rowsPerCommit, len(writes))]
		if _, err := k.Rows.Commit(ctx, storage.Transaction{Writes: part}); err != nil {
			return trace.Wrap(err, "writing suspects")
		}
	}
	return nil
}

// sweep removes expired rows; one entry does it for all.
func (k *Persister) sweep(ctx context.Context) {
	if rank, _ := k.Rank(); rank != 0 {
		return
	}
	now := time.Now()
	rows, err := k.Rows.Scan(ctx, rowPrefix, "", scanPage)
	if err != nil {
		return // the next sweep reads them again
	}
	for _, row := range rows {
		if _, _, expires, ok := parseRow(row); ok && expires.After(now) {
			continue
		}
		remove := storage.Write{Key: row.Key, IfVersion: row.Version, Delete: true}
		if _, err := k.Rows.Commit(ctx, storage.Transaction{Writes: []storage.Write{remove}}); err != nil {
			return
		}
	}
}

// saves reports whether the entry writes the suspect.
func saves(fingerprint uint64, rank, entries int) bool {
	if entries <= saversPerSuspect {
		return true
	}
	first := int(fingerprint % uint64(entries))
	return (rank-first+entries)%entries < saversPerSuspect
}

func rowKey(fingerprint, crash uint64) string {
	return fmt.Sprintf("%s%016x/%016x", rowPrefix, fingerprint, crash)
}

func parseRow(row storage.Row) (fingerprint, crash uint64, expires time.Time, ok bool) {
	first, second, found := strings.Cut(strings.TrimPrefix(row.Key, rowPrefix), "/")
	fingerprint, err1 := strconv.ParseUint(first, 16, 64)
	crash, err2 := strconv.ParseUint(second, 16, 64)
	ms, err3 := strconv.ParseInt(string(row.Value), 10, 64)
	return fingerprint, crash, time.UnixMilli(ms), found && err1 == nil && err2 == nil && err3 == nil
}

// suspectsOf converts the rows that have not expired.
func suspectsOf(rows []storage.Row, now time.Time) []*rpc.Suspect {
	var suspects []*rpc.Suspect
	for _, row := range rows {
		fingerprint, crash, expires, ok := parseRow(row)
		if !ok || !expires.After(now) {
			continue
		}
		suspects = append(suspects, &rpc.Suspect{
			Fingerprint: fingerprint,
			CrashIds:    []uint64{crash},
			ExpiresInMs: uint32(min(expires.Sub(now), DefaultTTL) / time.Millisecond),
		})
	}
	return suspects
}
