package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/magnoliausher/magnoliausher/storage"
)

// ErrInvalid is returned for a malformed call, which had no effect.
var ErrInvalid = errors.New("invalid request")

// Get returns a row, or storage.ErrNotFound.
func (p *Platform) Get(ctx context.Context, key string) (storage.Row, error) {
	var row storage.Row
	err := p.read(ctx, countTableRead, func() error {
		found, ok := p.rows.get(key)
		if !ok {
			return storage.ErrNotFound
		}
		row = p.readRow(found)
		return nil
	})
	return row, err
}

// Scan returns rows in key order.
func (p *Platform) Scan(ctx context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	var rows []storage.Row
	err := p.read(ctx, countTableRead, func() error {
		for _, key := range p.rows.scan(prefix, after, limit) {
			rows = append(rows, p.readRow(p.rows.values[key]))
		}
		return nil
	})
	return rows, err
}

// Commit applies a transaction.
func (p *Platform) Commit(ctx context.Context, tx storage.Transaction) ([]uint64, error) {
	if err := checkTransaction(tx); err != nil {
		return nil, err
	}
	tx = cloneTransaction(tx) // the caller may reuse its buffers while a delayed write is pending
	var versions []uint64
	err := p.write(ctx, countTableWrite, func() error {
		if !p.conditionsHold(tx) {
			return storage.ErrConflict
		}
		versions = p.applyWrites(tx.Writes)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return versions, nil
}

func checkTransaction(tx storage.Transaction) error {
	seen := make(map[string]bool, len(tx.Writes))
	for _, w := range tx.Writes {
		if w.Key == "" {
			return fmt.Errorf("%w: write without a key", ErrInvalid)
		}
		if seen[w.Key] {
			return fmt.Errorf("%w: two writes of row %q in one transaction", ErrInvalid, w.Key)
		}
		seen[w.Key] = true
	}
	return nil
}

func cloneTransaction(tx storage.Transaction) storage.Transaction {
	tx.Conditions = slices.Clone(tx.Conditions)
	tx.Writes = slices.Clone(tx.Writes)
	for i := range tx.Writes {
		tx.Writes[i].Value = bytes.Clone(tx.Writes[i].Value)
	}
	return tx
}

func (p *Platform) conditionsHold(tx storage.Transaction) bool {
	for _, c := range tx.Conditions {
		if p.rows.values[c.Key].Version != c.Version {
			return false
		}
	}
	for _, w := range tx.Writes {
		if !w.Always && p.rows.values[w.Key].Version != w.IfVersion {
			return false
		}
	}
	return true
}

// applyWrites writes the rows. Versions come from one sequence for the whole
// table, so a row that is deleted and created again never repeats a version, and
// the condition of a writer that read the old row cannot hold.
func (p *Platform) applyWrites(writes []storage.Write) []uint64 {
	versions := make([]uint64, 0, len(writes))
	for _, w := range writes {
		p.sequence++
		versions = append(versions, p.sequence)
		p.stats.RowsWritten++
		if w.Delete {
			p.rows.remove(w.Key)
			continue
		}
		p.stats.BytesWritten += int64(len(w.Value))
		p.rows.put(w.Key, storage.Row{Key: w.Key, Version: p.sequence, Value: w.Value})
	}
	return versions
}

// readRow returns a copy of a row and counts its bytes.
func (p *Platform) readRow(row storage.Row) storage.Row {
	p.stats.BytesRead += int64(len(row.Value))
	row.Value = bytes.Clone(row.Value)
	return row
}

func countTableRead(s *Stats) *int   { return &s.TableReads }
func countTableWrite(s *Stats) *int  { return &s.TableWrites }
func countObjectRead(s *Stats) *int  { return &s.ObjectReads }
func countObjectWrite(s *Stats) *int { return &s.ObjectWrites }
func countListRead(s *Stats) *int    { return &s.ListReads }
