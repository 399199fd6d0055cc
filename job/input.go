package job

import (
	"bufio"
	"context"
	"encoding/json"
	"io"

	"github.com/gravitational/trace"
)

// eachLine calls f with each line of a file in [from, to), reading only the part
// objects that hold them. raw is valid only during the call.
func (s *Store) eachLine(ctx context.Context, file *File, from, to int, f func(raw []byte) error) error {
	first := 0
	for n, p := range file.Parts {
		last := first + p.Lines
		if last > from && first < to {
			if err := s.eachPartLine(ctx, file, n, max(0, from-first), min(p.Lines, to-first), f); err != nil {
				return trace.Wrap(err)
			}
		}
		first = last
	}
	return nil
}

// eachPartLine calls f with each line of part n in [from, to).
func (s *Store) eachPartLine(ctx context.Context, file *File, n, from, to int, f func(raw []byte) error) error {
	body, err := retry(ctx, func() (io.ReadCloser, error) { return s.objects.Get(ctx, partKey(file.ID, n)) })
	if err != nil {
		return trace.Wrap(err, "part %d of %s", n, file.ID)
	}
	defer body.Close()
	r := bufio.NewReaderSize(body, 64<<10)
	for i := range to {
		raw, _, err := readLine(r)
		if err != nil && (err != io.EOF || len(raw) == 0) {
			return trace.Wrap(err, "part %d of %s ends early", n, file.ID)
		}
		if i < from {
			continue
		}
		if err := f(raw); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// loadItems reads the items of a chunk.
func (s *Store) loadItems(ctx context.Context, j *Job, file *File, index int) ([]*item, error) {
	from := index * ChunkItems
	items := make([]*item, 0, j.chunkLen(index))
	err := s.eachLine(ctx, file, from, from+j.chunkLen(index), func(raw []byte) error {
		it := &item{index: len(items)}
		if err := json.Unmarshal(raw, &it.inputLine); err != nil {
			return trace.Wrap(err)
		}
		it.outputTokens = outputTokens(it.Body)
		items = append(items, it)
		return nil
	})
	return items, trace.Wrap(err)
}

// estimateChunkBytes estimates the input bytes of a chunk from the sizes of its parts.
func estimateChunkBytes(j *Job, file *File, index int) int64 {
	from := index * ChunkItems
	to := from + j.chunkLen(index)
	first := 0
	var sum int64
	for _, p := range file.Parts {
		overlap := min(to, first+p.Lines) - max(from, first)
		if overlap > 0 {
			sum += int64(p.Bytes) * int64(overlap) / int64(p.Lines)
		}
		first += p.Lines
	}
	return sum
}
