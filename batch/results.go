package batch

import (
	"context"
	"slices"
	"time"
	"unicode/utf8"

	"github.com/gravitational/trace"

	"github.com/magnoliausher/magnoliausher/memory"
	"github.com/magnoliausher/magnoliausher/storage"
)

const (
	// maxPageBytes limits the JSON of the results in one answer, which may have 1 MB with
	// what is around them.
	maxPageBytes = 800_000
	// resultFrameBytes is the JSON of a result beside its texts.
	resultFrameBytes = 64
	// maxPageTime limits the time in which results are added to a page. A caller that reads
	// slowly gets a short page whole, rather than the beginning of a long one: callers wait
	// 2.5 s.
	maxPageTime = time.Second
	// resultScanRows is the number of rows read from the store for one answer.
	resultScanRows = 40
	// maxResultReads is how many reads of results are in progress at once. Each takes about
	// 4 MB until its rows are decoded, which no budget counts.
	maxResultReads = 6
)

// ResultReader returns the results of one page, one after the other. What it holds beyond
// the cache counts in the budget of the service, so a page that is read slowly takes no
// more memory than it was granted. It must be closed, and not be used concurrently.
type ResultReader struct {
	Total int // items of the job
	Next  int // position of the next result

	service *Service
	job     *Job
	ahead   []Result // from position Next on
	share   *memory.Share
	begun   time.Time // when the first result was returned; zero before
	left    int       // bytes of JSON that the page may still take
}

// OpenResults returns a reader for a page of results starting at position after. If there
// are none yet, it waits for up to wait. It returns memory.ErrExhausted if there is no
// memory for the first result.
func (s *Service) OpenResults(ctx context.Context, organisation, id string, after int, wait time.Duration) (*ResultReader, error) {
	deadline := time.Now().Add(wait)
	for {
		changed := s.mirror.watch()
		e, err := s.lookupJobOf(ctx, organisation, id)
		if err != nil {
			return nil, err
		}
		job := e.Job()
		left := time.Until(deadline)
		if after < job.Listed || job.Closed() || left <= 0 {
			r := &ResultReader{Total: job.Total, Next: after, service: s, job: job, share: s.cfg.Results.Share(), left: maxPageBytes}
			if err := r.open(ctx); err != nil {
				return nil, err
			}
			return r, nil
		}
		timer := time.NewTimer(left)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, context.Cause(ctx)
		}
		timer.Stop()
	}
}

// open reads the first results, if there are any. The store may have listed more than the
// job's row did when it was read.
func (r *ResultReader) open(ctx context.Context) error {
	if r.Next >= r.job.Listed {
		return nil
	}
	if first, cached := r.service.cachedResult(r.job, r.Next); cached {
		r.ahead = []Result{first}
	} else {
		var err error
		if r.ahead, err = r.service.readStoredResults(ctx, r.job, r.Next); err != nil {
			return err
		}
	}
	return r.reserve()
}

// reserve takes the memory for the results read ahead. If there is none for all of them, it
// keeps the first one only.
func (r *ResultReader) reserve() error {
	if r.share.Resize(outputBytes(r.ahead)) == nil {
		return nil
	}
	r.ahead = slices.Clone(r.ahead[:1])
	err := r.share.Resize(outputBytes(r.ahead))
	if err != nil {
		r.ahead = nil
	}
	return err
}

func outputBytes(list []Result) int {
	size := 0
	for i := range list {
		size += len(list[i].Output)
	}
	return size
}

// Read returns the next result of the page, if there is one. The memory of the result
// before it is given back. After the results that were read ahead it goes on with cached
// ones, but reads nothing from the store, so a page that has begun ends soon and cannot fail.
func (r *ResultReader) Read() (Result, bool) {
	if len(r.ahead) == 0 && r.Next < r.job.Listed {
		if next, cached := r.service.cachedResult(r.job, r.Next); cached {
			r.ahead = []Result{next}
		}
	}
	if len(r.ahead) == 0 || r.reserve() != nil {
		return Result{}, false
	}
	next := r.ahead[0]
	size := resultFrameBytes + jsonBytes(next.Item) + jsonBytes(next.Output)
	switch {
	case r.begun.IsZero(): // belongs to the page whatever its size
		r.begun = time.Now()
	case size > r.left, time.Since(r.begun) > maxPageTime:
		return Result{}, false
	}
	r.left -= size
	r.ahead[0] = Result{}
	r.ahead = r.ahead[1:]
	r.Next++
	return next, true
}

// Close gives the memory back.
func (r *ResultReader) Close() { r.share.Release() }

// jsonBytes returns the length of a text in JSON, in which control characters, quotation
// marks and invalid bytes take up to six bytes.
func jsonBytes(s string) int {
	const escaped, short = 6, 2
	size := len(s)
	for i := 0; i < len(s); {
		c := s[i]
		if c < utf8.RuneSelf {
			switch {
			case c == '"', c == '\\', c == '\n', c == '\r', c == '\t':
				size += short - 1
			case c < ' ':
				size += escaped - 1
			}
			i++
			continue
		}
		char, n := utf8.DecodeRuneInString(s[i:])
		if char == utf8.RuneError && n == 1 || char == '\u2028' || char == '\u2029' {
			size += escaped - n
		}
		i += n
	}
	return size
}

// cachedResult returns a listed result that is cached.
func (s *Service) cachedResult(job *Job, position int) (Result, bool) {
	return s.results.Get(resultID{job.Organisation, job.ID, position})
}

func (s *Service) cacheResult(job *Job, position int, r Result) {
	if len(r.Output) <= cachedResultBytes {
		s.results.Add(resultID{job.Organisation, job.ID, position}, r)
	}
}

// readResults returns listed results from the cache or, if the first one is not
// cached, from the store.
func (s *Service) readResults(ctx context.Context, job *Job, from int) ([]Result, error) {
	var list []Result
	for pos := from; pos < job.Listed; pos++ {
		r, cached := s.cachedResult(job, pos)
		if !cached {
			break
		}
		list = append(list, r)
	}
	if len(list) > 0 {
		return list, nil
	}
	return s.readStoredResults(ctx, job, from)
}

// readStoredResults reads listed results from the store when fewer than maxResultReads are
// in progress. It returns at least one unless there is an error.
func (s *Service) readStoredResults(ctx context.Context, job *Job, from int) ([]Result, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.resultReads.Acquire(ctx, 1); err != nil {
		return nil, trace.Wrap(ErrStoreUnavailable, "too many reads of results: %v", err)
	}
	defer s.resultReads.Release(1)
	rows, err := s.cfg.Table.Scan(ctx, resultKeyPrefix+job.ID+"/", resultKey(job.ID, from-1, 999), resultScanRows)
	if err != nil {
		return nil, trace.Wrap(ErrStoreUnavailable, "%v", err)
	}
	results, err := s.assembleResults(job, from, rows)
	if err != nil || len(results) == 0 {
		return nil, trace.Wrap(ErrStoreUnavailable, "results of job %s from position %d: %v", job.ID, from, err)
	}
	return results, nil
}

// assembleResults joins the parts in rows into consecutive results, the first of
// which is at position from.
func (s *Service) assembleResults(job *Job, from int, rows []storage.Row) ([]Result, error) {
	var list []Result
	var partial *Result
	for _, row := range rows {
		pos, err := resultPosition(row.Key, job.ID)
		if err != nil {
			return nil, err
		}
		part, more, err := parseResultRow(row.Value)
		if err != nil {
			return nil, err
		}
		if partial == nil {
			if pos != from+len(list) {
				return nil, trace.BadParameter("result at position %d is missing", from+len(list))
			}
			partial = &part
		} else {
			partial.Output += part.Output
		}
		if !more {
			s.cacheResult(job, pos, *partial)
			list = append(list, *partial)
			partial = nil
		}
	}
	return list, nil
}
