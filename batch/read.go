package batch

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/gravitational/trace"

	"github.com/magnoliausher/magnoliausher/storage"
)

const (
	// pageBytes bounds the output of one answer, whose JSON may have 1 MB.
	pageBytes = 700 << 10
	// pageRows is read from the store for one answer.
	pageRows = 40
)

// lookup returns a job, from the store if the copy may be out of date.
func (s *Service) lookup(ctx context.Context, id string) (entry, error) {
	e, known := s.mirror.get(id)
	if known && s.mirror.current(time.Now()) {
		return e, nil
	}
	read, err := s.reread(ctx, id)
	if errors.Is(err, ErrStoreUnavailable) && known {
		return e, nil // older, but listed results never change
	}
	return read, err
}

// reread reads a job's row from the store.
func (s *Service) reread(ctx context.Context, id string) (entry, error) {
	ctx, cancel := s.storeContext(ctx)
	defer cancel()
	row, err := s.cfg.Table.Get(ctx, jobKey(id))
	if errors.Is(err, storage.ErrNotFound) {
		return entry{}, ErrNotFound
	}
	if err != nil {
		return entry{}, trace.Wrap(ErrStoreUnavailable, "%v", err)
	}
	s.mirror.apply([]storage.Change{{Row: row}})
	e, known := s.mirror.get(id)
	if !known {
		return entry{}, trace.Wrap(ErrStoreUnavailable, "job row not understood")
	}
	return e, nil
}

// Results returns results from a position on. If there are none yet it waits.
func (s *Service) Results(ctx context.Context, id string, after int, wait time.Duration) (Page, error) {
	deadline := time.Now().Add(wait)
	for {
		changed := s.mirror.watch()
		e, err := s.lookup(ctx, id)
		if err != nil {
			return Page{}, err
		}
		if after < e.Listed {
			results, err := s.read(ctx, id, after, e.Listed)
			return Page{Total: e.Total, Results: results}, err
		}
		left := time.Until(deadline)
		if e.closed() || left <= 0 {
			return Page{Total: e.Total}, nil
		}
		timer := time.NewTimer(left)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return Page{}, context.Cause(ctx)
		}
		timer.Stop()
	}
}

// read returns results from memory, else from the store.
func (s *Service) read(ctx context.Context, id string, from, to int) ([]Result, error) {
	var list []Result
	size := 0
	for at := from; at < to && size < pageBytes; at++ {
		r, held := s.results.Get(resultID{id, at})
		if !held {
			break
		}
		list = append(list, r)
		size += len(r.Output)
	}
	if len(list) > 0 {
		return list, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := s.cfg.Table.Scan(ctx, resultPrefix+id+"/", resultKey(id, from-1, 999), pageRows)
	if err != nil {
		return nil, trace.Wrap(ErrStoreUnavailable, "%v", err)
	}
	results, err := s.assemble(id, from, rows)
	if err != nil || len(results) == 0 {
		return nil, trace.Wrap(ErrStoreUnavailable, "results of job %s from %d: %v", id, from, err)
	}
	return results, nil
}

// assemble joins the parts of results that begin at a position.
func (s *Service) assemble(id string, from int, rows []storage.Row) ([]Result, error) {
	var list []Result
	var open *Result
	for _, row := range rows {
		at, err := position(row.Key, id)
		if err != nil {
			return nil, err
		}
		part, more, err := parseResultRow(row.Value)
		if err != nil {
			return nil, err
		}
		if open == nil {
			if at != from+len(list) {
				return nil, trace.BadParameter("position %d is missing", from+len(list))
			}
			open = &part
		} else {
			open.Output += part.Output
		}
		if !more {
			s.results.Add(resultID{id, at}, *open)
			list = append(list, *open)
			open = nil
		}
	}
	return list, nil
}

// Body returns the body of an item of a job that has not ended.
func (s *Service) Body(ctx context.Context, id, item string) ([]byte, error) {
	e, err := s.lookup(ctx, id)
	if err != nil {
		return nil, err
	}
	if e.Ended {
		return nil, ErrNotFound
	}
	job, err := s.submission(ctx, id)
	if err != nil {
		return nil, err
	}
	for i := range job.Items {
		if job.Items[i].ID == item {
			return job.Items[i].Body, nil
		}
	}
	return nil, ErrNotFound
}

// submission returns a job's object.
func (s *Service) submission(ctx context.Context, id string) (*Submission, error) {
	if job, held := s.submissions.Get(id); held {
		return job, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reader, err := s.cfg.Objects.Get(ctx, objectKey(id))
	if err != nil {
		return nil, trace.Wrap(ErrStoreUnavailable, "%v", err)
	}
	defer reader.Close()
	content, err := io.ReadAll(reader)
	if err != nil {
		return nil, trace.Wrap(ErrStoreUnavailable, "%v", err)
	}
	var job Submission
	if err := json.Unmarshal(content, &job); err != nil {
		return nil, trace.Wrap(ErrStoreUnavailable, "object of job %s: %v", id, err)
	}
	s.submissions.Add(id, &job)
	return &job, nil
}
