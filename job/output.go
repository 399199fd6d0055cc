package job

import (
	"context"
	"encoding/json"
	"io"

	"github.com/gravitational/trace"

	"github.com/magnoliausher/magnoliausher/storage"
)

// WriteInput streams an uploaded file. Line ends are normalised to "\n".
func (s *Store) WriteInput(ctx context.Context, f *File, w io.Writer) error {
	for n := range f.Parts {
		if err := s.copyObject(ctx, partKey(f.ID, n), 0, int64(f.Parts[n].Bytes), w); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// WriteResults streams the output or error file of an ended job in input order.
// Every entry writes the same bytes on every call, because the chunks of an ended
// job never change. The error file of a cancelled or expired job has a line for
// each item that was not completed.
func (s *Store) WriteResults(ctx context.Context, j *Job, isErrors bool, w io.Writer) error {
	if !j.Status.Final() {
		return trace.Wrap(storage.ErrNotFound, "job %s has not ended", j.ID)
	}
	done, err := s.DoneChunks(ctx, j)
	if err != nil {
		return trace.Wrap(err)
	}
	next := 0
	for _, c := range done {
		if isErrors {
			if err := s.writeMissing(ctx, j, next, c.Index, w); err != nil {
				return trace.Wrap(err)
			}
		}
		next = c.Index + 1
		skip, n := int64(0), c.OutputBytes
		if isErrors {
			skip, n = c.OutputBytes, c.ErrorBytes
		}
		if err := s.copyObject(ctx, resultKey(j.ID, c.Index, c.ClaimID), skip, n, w); err != nil {
			return trace.Wrap(err)
		}
	}
	if !isErrors {
		return nil
	}
	return trace.Wrap(s.writeMissing(ctx, j, next, j.Chunks(), w))
}

// writeMissing writes error lines for the items of the chunks in [from, to).
func (s *Store) writeMissing(ctx context.Context, j *Job, from, to int, w io.Writer) error {
	if from >= to {
		return nil
	}
	file, err := s.File(ctx, j.FileID)
	if err != nil {
		return trace.Wrap(err)
	}
	code, message := codeCancelled, "the batch was cancelled before the item was completed"
	if j.Status == StatusExpired {
		code, message = codeExpired, "the batch expired before the item was completed"
	}
	n := from * ChunkItems
	return s.eachLine(ctx, file, n, min(to*ChunkItems, j.Items), func(raw []byte) error {
		var l inputLine
		if err := json.Unmarshal(raw, &l); err != nil {
			return trace.Wrap(err)
		}
		id := shortDigest(j.ID + "/" + l.CustomID)
		_, err := w.Write(errorLine(l.CustomID, hexString(id[:]), code, message))
		n++
		return err
	})
}

// copyObject copies n bytes after skip bytes of an object.
func (s *Store) copyObject(ctx context.Context, key string, skip, n int64, w io.Writer) error {
	if n == 0 {
		return nil
	}
	body, err := retry(ctx, func() (io.ReadCloser, error) { return s.objects.Get(ctx, key) })
	if err != nil {
		return trace.Wrap(err, "object %s", key)
	}
	defer body.Close()
	if _, err := io.CopyN(io.Discard, body, skip); err != nil {
		return trace.Wrap(err, "object %s", key)
	}
	_, err = io.CopyN(w, body, n)
	return trace.Wrap(err, "object %s", key)
}
