package batch

import (
	"context"
	"time"
)

// Page is a page of a job's results.
type Page struct {
	Total   int
	Results []Result
}

// Results returns a page of results as a caller gets it.
func (s *Service) Results(ctx context.Context, organisation, id string, after int, wait time.Duration) (Page, error) {
	r, err := s.OpenResults(ctx, organisation, id, after, wait)
	if err != nil {
		return Page{}, err
	}
	defer r.Close()
	page := Page{Total: r.Total}
	for {
		result, ok := r.Read()
		if !ok {
			return page, nil
		}
		page.Results = append(page.Results, result)
	}
}

// Body returns the request body of an item.
func (s *Service) Body(ctx context.Context, organisation, id, item string) ([]byte, error) {
	b, err := s.OpenBody(ctx, organisation, id, item)
	if err != nil {
		return nil, err
	}
	defer b.Close()
	return b.Bytes, nil
}
