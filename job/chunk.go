package job

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"

	"github.com/gravitational/trace"

	"github.com/magnoliausher/magnoliausher/storage"
)

// scanRows is the number of rows that one scan of chunks asks for.
const scanRows = 1000

// Claim is the right of a holder to one chunk. Its version is the fencing token.
type Claim struct {
	Job   *Job
	Chunk Chunk
	// unsettled is set while the answer to the last write is lost; the next
	// write reads the row back first.
	unsettled bool
	stored    string // key of the results object once it is written
}

// ScanChunks returns the rows of at most limit chunks from the index from on.
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

// AllChunks returns all chunk rows of a job by index. Pages may be shorter than
// asked for, so only an empty one or the last chunk ends the scan.
func (s *Store) AllChunks(ctx context.Context, job string, chunks int) ([]Chunk, error) {
	var all []Chunk
	for from := 0; from < chunks; {
		page, err := retry(ctx, func() ([]Chunk, error) { return s.ScanChunks(ctx, job, from, scanRows) })
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

// DoneChunks returns the committed chunks of a job by index.
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

// Claim takes a chunk whose row is as the caller saw it (the zero Chunk with an
// index for an absent row). ErrClaimLost: another holder was faster or the job ended.
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
		if err := s.settle(ctx, claim); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return claim, nil
}

// writeChunk writes the chunk's row conditional on its claimed version and on
// the job row, and notes the new version.
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
		claim.unsettled = true
	case errors.Is(err, storage.ErrConflict):
		err = ErrClaimLost
	}
	return err
}

// settle reads the row back after a lost answer and takes over its version if
// the row still carries this claim. A lost commit is recognised by its state.
func (s *Store) settle(ctx context.Context, claim *Claim) error {
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
	claim.unsettled = false
	return nil
}

// update settles and writes once. next returns the row to write; done says
// that the row read back already has that state.
func (s *Store) update(ctx context.Context, claim *Claim, next func(Chunk) Chunk, done func(Chunk) bool) error {
	if claim.unsettled {
		if err := s.settle(ctx, claim); err != nil {
			return trace.Wrap(err)
		}
	}
	if done(claim.Chunk) {
		return nil
	}
	if claim.Chunk.State != ChunkClaimed {
		return ErrClaimLost // committed or returned rows are no longer the holder's
	}
	before := claim.Chunk.Version
	err := s.writeChunk(ctx, claim, next(claim.Chunk))
	if !errors.Is(err, ErrClaimLost) {
		return trace.Wrap(err)
	}
	// An own write whose answer was lost may have arrived after the row was
	// read back.
	if err := s.settle(ctx, claim); err != nil {
		return trace.Wrap(err)
	}
	if done(claim.Chunk) {
		return nil
	}
	if claim.Chunk.Version != before {
		return trace.Wrap(storage.ErrThrottled, "row changed by an own delayed write")
	}
	return ErrClaimLost // the job row changed
}

// Renew raises the row's version, so that observers see that the holder lives.
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

// Commit writes the results object and makes it visible. It is one try; a
// transient error leaves the outcome open and Commit may be called again.
func (s *Store) Commit(ctx context.Context, claim *Claim, r Results) error {
	key := resultKey(claim.Job.ID, claim.Chunk.Index, claim.Chunk.ClaimID)
	if claim.stored != key {
		if err := s.objects.Put(ctx, key, r.reader()); err != nil {
			return trace.Wrap(err)
		}
		claim.stored = key
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

// putBack gives a chunk back as the holder found it.
func (s *Store) putBack(ctx context.Context, claim *Claim) error {
	return s.update(ctx, claim,
		func(c Chunk) Chunk {
			c.State = ChunkReturned
			c.Holder = ""
			return c
		},
		func(c Chunk) bool { return c.State == ChunkReturned })
}

// Return gives a chunk back with the states of its items, so that the next
// holder goes on where this one stopped.
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
