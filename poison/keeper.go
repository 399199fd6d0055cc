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
	rowKeyPrefix  = "suspect/" // followed by FINGERPRINT/CRASHID in hexadecimal
	scanPageSize  = 1000
	rowsPerCommit = 50
	// writersPerSuspect is the number of entries that write a suspect, so that it is
	// stored even if one of them is lost together with its upstreams.
	writersPerSuspect = 2
	sweepInterval     = 10 * time.Minute
)

// saveBackoff is the delay after a failed load or write.
var saveBackoff = storage.Backoff{Base: 100 * time.Millisecond, Max: 10 * time.Second}

// Persister stores suspects in the platform's table, so that they survive the loss
// of all processes at once. A row records that a request was in progress at one
// crash, and when the record expires. Rows never conflict, so they are written
// unconditionally. The expiry is a wall-clock time; a clock difference shifts the
// end of a block by the same amount.
type Persister struct {
	Table *Table
	Rows  storage.Table
	Rank  func() (rank, entries int) // rank of this entry among all entries
	Log   zerolog.Logger

	loaded        bool
	savedSequence uint64 // sequence number of Table up to which rows have been written
}

// Load merges the stored suspects into the table. Run writes those that this entry
// is a writer of again, since crashes may have been added in the meantime.
func (p *Persister) Load(ctx context.Context) error {
	now := time.Now()
	after := ""
	for {
		rows, err := p.Rows.Scan(ctx, rowKeyPrefix, after, scanPageSize)
		if err != nil {
			return trace.Wrap(err, "failed to read suspects")
		}
		p.Table.Merge(decodeRows(rows, now), now)
		if len(rows) < scanPageSize {
			p.loaded = true
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}

// Run loads the suspects unless Load has already succeeded, then writes changes
// until ctx is done.
func (p *Persister) Run(ctx context.Context) {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for failures := 0; ctx.Err() == nil; {
		changed := p.Table.NextChange()
		if err := p.saveChanges(ctx); err != nil {
			p.Log.Warn().Err(err).Msg("failed to load or save suspects; retrying")
			saveBackoff.Wait(ctx, failures)
			failures++
			continue
		}
		failures = 0
		select {
		case <-ctx.Done():
		case <-changed:
		case <-sweep.C:
			p.sweep(ctx)
		}
	}
}

func (p *Persister) saveChanges(ctx context.Context) error {
	if !p.loaded {
		if err := p.Load(ctx); err != nil {
			return err
		}
	}
	now := time.Now()
	suspects, sequence := p.Table.ExportSince(p.savedSequence, now)
	if err := p.save(ctx, suspects, now); err != nil {
		return err
	}
	p.savedSequence = sequence
	return nil
}

func (p *Persister) save(ctx context.Context, suspects []*rpc.Suspect, now time.Time) error {
	rank, entries := p.Rank()
	var writes []storage.Write
	for _, s := range suspects {
		if !isWriter(s.GetFingerprint(), rank, entries) {
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
		if _, err := p.Rows.Commit(ctx, storage.Transaction{Writes: part}); err != nil {
			return trace.Wrap(err, "failed to write suspects")
		}
	}
	return nil
}

// sweep deletes expired rows. Only the entry of rank 0 does so.
func (p *Persister) sweep(ctx context.Context) {
	if rank, _ := p.Rank(); rank != 0 {
		return
	}
	now := time.Now()
	for after := ""; ; {
		rows, err := p.Rows.Scan(ctx, rowKeyPrefix, after, scanPageSize)
		if err != nil {
			return // the next sweep retries
		}
		for _, row := range rows {
			if _, _, expires, ok := parseRow(row); ok && expires.After(now) {
				continue
			}
			remove := storage.Write{Key: row.Key, IfVersion: row.Version, Delete: true}
			if _, err := p.Rows.Commit(ctx, storage.Transaction{Writes: []storage.Write{remove}}); err != nil {
				return
			}
		}
		if len(rows) < scanPageSize {
			return
		}
		after = rows[len(rows)-1].Key
	}
}

// isWriter reports whether the entry of the given rank writes the suspect.
func isWriter(fingerprint uint64, rank, entries int) bool {
	if entries <= writersPerSuspect {
		return true
	}
	first := int(fingerprint % uint64(entries))
	return (rank-first+entries)%entries < writersPerSuspect
}

func rowKey(fingerprint, crash uint64) string {
	return fmt.Sprintf("%s%016x/%016x", rowKeyPrefix, fingerprint, crash)
}

func parseRow(row storage.Row) (fingerprint, crash uint64, expires time.Time, ok bool) {
	first, second, found := strings.Cut(strings.TrimPrefix(row.Key, rowKeyPrefix), "/")
	fingerprint, err1 := strconv.ParseUint(first, 16, 64)
	crash, err2 := strconv.ParseUint(second, 16, 64)
	ms, err3 := strconv.ParseInt(string(row.Value), 10, 64)
	return fingerprint, crash, time.UnixMilli(ms), found && err1 == nil && err2 == nil && err3 == nil
}

// decodeRows decodes the rows that are valid and have not expired.
func decodeRows(rows []storage.Row, now time.Time) []*rpc.Suspect {
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
