package job

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"

	"github.com/gravitational/trace"

	"github.com/magnoliausher/magnoliausher/storage"
)

// scanPageSize is the number of chunk rows requested in one scan.
const scanPageSize = 1000

// Claim is a holder's lease on one chunk. The chunk's version is the fencing token.
type Claim struct {
	Job   *Job
	Chunk Chunk
	// uncertain is set if the outcome of the last write is unknown; the next write
	// reads the row back first.
	uncertain bool
	storedKey string // key of the results object, once written
}

// ScanChunks returns the rows of at most limit chunks, starting at index from.
func (s *Store) ScanChunks(ctx context.Context, job string, from, limit int) ([]Chunk, error) {
	after := ""
	if from > 0 {
		after = chunkKey(job, from-1)
	}
	rows, err := s.table.Scan(ctx, chunksKey(job), after, limit)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	chunks := make([]Chunk, 0, len(rows))
	for _, row := range rows {
		c, err := decodeChunk(row)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		chunks = append(chunks, c)
	}
	return chunks, nil
}

func decodeChunk(row storage.Row) (Chunk, error) {
	c := Chunk{Version: row.Version}
	if err := json.Unmarshal(row.Value, &c); err != nil {
		return c, trace.Wrap(err, "row %s", row.Key)
	}
	index, err := chunkIndex(row.Key)
	c.Index = index
	return c, trace.Wrap(err)
}

// AllChunks returns all chunk rows of a job ordered by index. Pages may be shorter
// than requested, so only an empty page or the last chunk ends the scan.
func (s *Store) AllChunks(ctx context.Context, job string, chunks int) ([]Chunk, error) {
	var all []Chunk
	for from := 0; from < chunks; {
		page, err := retry(ctx, func() ([]Chunk, error) { return s.ScanChunks(ctx, job, from, scanPageSize) })
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if len(page) == 0 {
			break
		}
		all = append(all, page...)
		from = page[len(page)-1].Index + 1
	}
	return all, nil
}

// DoneChunks returns the committed chunks of a job ordered by index.
func (s *Store) DoneChunks(ctx context.Context, j *Job) ([]Chunk, error) {
	all, err := s.AllChunks(ctx, j.ID, j.Chunks())
	done := all[:0]
	for _, c := range all {
		if c.State == ChunkDone {
			done = append(done, c)
		}
	}
	return done, trace.Wrap(err)
}

// Claim claims a chunk if its row has not changed since seen was read. For an absent
// row, seen has only an index. It returns ErrClaimLost if another holder claimed the
// chunk first or the job has ended.
func (s *Store) Claim(ctx context.Context, j *Job, seen Chunk, holder string) (*Claim, error) {
	claim := &Claim{Job: j, Chunk: Chunk{
		State: ChunkClaimed, Holder: holder, ClaimID: newID(""), Index: seen.Index,
		Partial: seen.Partial, Intended: seen.Intended, Version: seen.Version,
	}}
	err := s.writeChunk(ctx, claim, claim.Chunk)
	if err != nil && !errors.Is(err, storage.ErrUnavailable) {
		return nil, trace.Wrap(err)
	}
	if err != nil {
		if err := s.reconcile(ctx, claim); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return claim, nil
}

// writeChunk writes the chunk's row, conditional on the versions of the claim and of
// the job row, and records the new version in the claim.
func (s *Store) writeChunk(ctx context.Context, claim *Claim, next Chunk) error {
	key := chunkKey(claim.Job.ID, claim.Chunk.Index)
	versions, err := s.table.Commit(ctx, storage.Transaction{
		Conditions: []storage.Condition{{Key: jobKey(claim.Job.ID), Version: claim.Job.Version}},
		Writes:     []storage.Write{{Key: key, Value: mustJSON(next), IfVersion: claim.Chunk.Version}},
	})
	switch {
	case err == nil:
		next.Version = versions[0]
		claim.Chunk = next
	case errors.Is(err, storage.ErrUnavailable):
		claim.uncertain = true
	case errors.Is(err, storage.ErrConflict):
		err = ErrClaimLost
	}
	return err
}

// reconcile reads the row back after a write with unknown outcome and adopts its
// state and version if the row still has this claim's id. The state shows whether
// a commit took effect.
func (s *Store) reconcile(ctx context.Context, claim *Claim) error {
	row, err := s.getRow(ctx, chunkKey(claim.Job.ID, claim.Chunk.Index))
	if err != nil {
		return trace.Wrap(err)
	}
	if row.Version == 0 {
		return ErrClaimLost
	}
	c, err := decodeChunk(row)
	if err != nil {
		return trace.Wrap(err)
	}
	if c.ClaimID != claim.Chunk.ClaimID {
		return ErrClaimLost
	}
	claim.Chunk = c
	claim.uncertain = false
	return nil
}

// update reconciles an uncertain claim and writes the row once. next returns the row
// to write; done reports whether the row already has that state.
func (s *Store) update(ctx context.Context, claim *Claim, next func(Chunk) Chunk, done func(Chunk) bool) error {
	if claim.uncertain {
		if err := s.reconcile(ctx, claim); err != nil {
			return trace.Wrap(err)
		}
	}
	if done(claim.Chunk) {
		return nil
	}
	if claim.Chunk.State != ChunkClaimed {
		return ErrClaimLost // the chunk is already committed or returned
	}
	before := claim.Chunk.Version
	err := s.writeChunk(ctx, claim, next(claim.Chunk))
	if !errors.Is(err, ErrClaimLost) {
		return trace.Wrap(err)
	}
	// An earlier write of this claim whose response was lost may have been applied
	// after the row was read back.
	if err := s.reconcile(ctx, claim); err != nil {
		return trace.Wrap(err)
	}
	if done(claim.Chunk) {
		return nil
	}
	if claim.Chunk.Version != before {
		return trace.Wrap(storage.ErrThrottled, "row changed by a delayed write of the same claim")
	}
	return ErrClaimLost // the job row changed
}

// Renew changes the row's version, which shows other entries that the holder is alive.
func (s *Store) Renew(ctx context.Context, claim *Claim) error {
	n := claim.Chunk.Renewals + 1
	return s.update(ctx, claim,
		func(c Chunk) Chunk { c.Renewals = n; return c },
		func(c Chunk) bool { return c.Renewals == n })
}

// RecordIntents records non-repeatable items before they are started.
func (s *Store) RecordIntents(ctx context.Context, claim *Claim, items []int) error {
	want := len(claim.Chunk.Intended) + len(items)
	return s.update(ctx, claim,
		func(c Chunk) Chunk {
			c.Intended = append(append([]int(nil), c.Intended...), items...)
			return c
		},
		func(c Chunk) bool { return len(c.Intended) == want })
}

// Commit writes the results object and marks the chunk as done. It makes one attempt;
// after a transient error the outcome is unknown and Commit may be called again.
func (s *Store) Commit(ctx context.Context, claim *Claim, r Results) error {
	key := resultKey(claim.Job.ID, claim.Chunk.Index, claim.Chunk.ClaimID)
	if claim.storedKey != key {
		if err := s.objects.Put(ctx, key, r.reader()); err != nil {
			return trace.Wrap(err)
		}
		claim.storedKey = key
	}
	return s.update(ctx, claim,
		func(c Chunk) Chunk {
			return Chunk{
				State: ChunkDone, ClaimID: c.ClaimID, Index: c.Index,
				Completed: r.Completed, Failed: r.Failed,
				OutputBytes: int64(len(r.Output)), ErrorBytes: int64(len(r.Errors)),
			}
		},
		func(c Chunk) bool { return c.State == ChunkDone })
}

// returnUnchanged returns a chunk with the item states and intents it was claimed with.
func (s *Store) returnUnchanged(ctx context.Context, claim *Claim) error {
	return s.update(ctx, claim,
		func(c Chunk) Chunk {
			c.State = ChunkReturned
			c.Holder = ""
			return c
		},
		func(c Chunk) bool { return c.State == ChunkReturned })
}

// Return returns a chunk with the states of its items, so that the next holder
// resumes where this one stopped.
func (s *Store) Return(ctx context.Context, claim *Claim, partial []byte) error {
	key := ""
	if len(partial) > 0 {
		key = partialKey(claim.Job.ID, claim.Chunk.Index, claim.Chunk.ClaimID)
		if err := s.objects.Put(ctx, key, bytes.NewReader(partial)); err != nil {
			return trace.Wrap(err)
		}
	}
	return s.update(ctx, claim,
		func(c Chunk) Chunk {
			return Chunk{State: ChunkReturned, ClaimID: c.ClaimID, Index: c.Index, Partial: key}
		},
		func(c Chunk) bool { return c.State == ChunkReturned })
}
