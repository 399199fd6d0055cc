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
	// DefaultRowPrefix is followed by FINGERPRINT/CRASHID in hexadecimal.
	DefaultRowPrefix = "suspect/"
	// clearedCrash is the crash id in the row of a cleared record.
	clearedCrash  = 0
	scanPageSize  = 1000
	rowsPerCommit = 50
	// writersPerSuspect is the number of entries that write a suspect, so that it is
	// stored even if one of them is lost together with its upstreams.
	writersPerSuspect = 2
	sweepInterval     = 10 * time.Minute
)

// saveBackoff is the delay after a failed load or write.
var saveBackoff = storage.Backoff{Base: 100 * time.Millisecond, Max: 2 * time.Second}

// Persister stores suspects in the platform's table, so that they survive the loss
// of all processes at once. A row records that a request was in progress at one
// crash, when the record expires, and its generation. Rows never conflict, so they are
// written unconditionally. The expiry is a wall-clock time; a clock difference shifts
// the end of a block by the same amount.
type Persister struct {
	Table  *Table
	Rows   storage.Table
	Rank   func() (rank, entries int) // rank of this entry among all entries
	Log    zerolog.Logger
	Prefix string // of row keys; empty means DefaultRowPrefix
	// MinCrashes is the number of crashes from which a record is stored, so that only
	// blocked ones cost writes. 0 stores all.
	MinCrashes int

	loaded        bool
	savedSequence uint64          // sequence number of Table up to which rows have been written
	stored        map[uint64]bool // fingerprints that may have rows that do not say cleared
}

func (p *Persister) prefix() string {
	if p.Prefix == "" {
		return DefaultRowPrefix
	}
	return p.Prefix
}

// Load merges the stored suspects into the table. Run writes those that this entry
// is a writer of again, since crashes may have been added in the meantime.
func (p *Persister) Load(ctx context.Context) error {
	now := time.Now()
	after := ""
	for {
		rows, err := p.Rows.Scan(ctx, p.prefix(), after, scanPageSize)
		if err != nil {
			return trace.Wrap(err, "failed to read suspects")
		}
		suspects := p.decodeRows(rows, now)
		for _, s := range suspects {
			p.markStored(s.GetFingerprint(), len(s.GetCrashIds()) > 0)
		}
		p.Table.Merge(suspects, now)
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
	var written []*rpc.Suspect
	for _, s := range suspects {
		if !isWriter(s.GetFingerprint(), rank, entries) {
			continue
		}
		crashes := s.GetCrashIds()
		if len(crashes) < max(p.MinCrashes, 1) && !p.stored[s.GetFingerprint()] {
			continue
		}
		expires := now.Add(time.Duration(s.GetExpiresInMs()) * time.Millisecond)
		if len(crashes) == 0 {
			crashes = []uint64{clearedCrash}
			expires = now.Add(p.Table.cfg.TTL) // outlives the rows of the earlier generation
		}
		for _, crash := range crashes {
			writes = append(writes, storage.Write{
				Key:    p.rowKey(s.GetFingerprint(), crash),
				Value:  rowValue(expires, s.GetGeneration()),
				Always: true,
			})
		}
		written = append(written, s)
	}
	for _, s := range written {
		if len(s.GetCrashIds()) > 0 {
			p.markStored(s.GetFingerprint(), true) // a failed write may take effect too
		}
	}
	for start := 0; start < len(writes); start += rowsPerCommit {
		part := writes[start:min(start+rowsPerCommit, len(writes))]
		if _, err := p.Rows.Commit(ctx, storage.Transaction{Writes: part}); err != nil {
			return trace.Wrap(err, "failed to write suspects")
		}
	}
	for _, s := range written {
		if len(s.GetCrashIds()) == 0 {
			p.markStored(s.GetFingerprint(), false)
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
		rows, err := p.Rows.Scan(ctx, p.prefix(), after, scanPageSize)
		if err != nil {
			return // the next sweep retries
		}
		for _, row := range rows {
			if r, ok := p.parseRow(row); ok && r.expires.After(now) {
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

func (p *Persister) markStored(fingerprint uint64, stored bool) {
	if !stored {
		delete(p.stored, fingerprint)
		return
	}
	if p.stored == nil {
		p.stored = make(map[uint64]bool)
	}
	p.stored[fingerprint] = true
}

func (p *Persister) rowKey(fingerprint, crash uint64) string {
	return fmt.Sprintf("%s%016x/%016x", p.prefix(), fingerprint, crash)
}

// rowValue encodes a row's expiry and, unless it is 0, its generation.
func rowValue(expires time.Time, generation uint32) []byte {
	value := strconv.AppendInt(nil, expires.UnixMilli(), 10)
	if generation > 0 {
		value = strconv.AppendUint(append(value, ' '), uint64(generation), 10)
	}
	return value
}

type suspectRow struct {
	fingerprint, crash uint64
	expires            time.Time
	generation         uint32
}

func (p *Persister) parseRow(row storage.Row) (r suspectRow, ok bool) {
	first, second, found := strings.Cut(strings.TrimPrefix(row.Key, p.prefix()), "/")
	ms, generation, _ := strings.Cut(string(row.Value), " ")
	if generation == "" {
		generation = "0"
	}
	fingerprint, err1 := strconv.ParseUint(first, 16, 64)
	crash, err2 := strconv.ParseUint(second, 16, 64)
	expires, err3 := strconv.ParseInt(ms, 10, 64)
	n, err4 := strconv.ParseUint(generation, 10, 32)
	ok = found && err1 == nil && err2 == nil && err3 == nil && err4 == nil
	return suspectRow{fingerprint, crash, time.UnixMilli(expires), uint32(n)}, ok
}

// decodeRows decodes the rows that are valid and have not expired.
func (p *Persister) decodeRows(rows []storage.Row, now time.Time) []*rpc.Suspect {
	var suspects []*rpc.Suspect
	for _, row := range rows {
		r, ok := p.parseRow(row)
		if !ok || !r.expires.After(now) {
			continue
		}
		s := &rpc.Suspect{Fingerprint: r.fingerprint, Generation: r.generation,
			ExpiresInMs: uint32(min(r.expires.Sub(now), DefaultTTL) / time.Millisecond)}
		if r.crash != clearedCrash {
			s.CrashIds = []uint64{r.crash}
		}
		suspects = append(suspects, s)
	}
	return suspects
}
