package job

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/effect"
	"github.com/magnoliausher/magnoliausher/finding"
	"github.com/magnoliausher/magnoliausher/storage"
)

// CreateRequest is the body of POST /v1/batches.
type CreateRequest struct {
	InputFileID      string            `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"` // Go duration, e.g. 24h
	Metadata         map[string]string `json:"metadata,omitempty"`
}

// BatchObject is the batch object of the OpenAI API. Times are Unix seconds.
type BatchObject struct {
	ID               string            `json:"id"`
	Object           string            `json:"object"`
	Endpoint         string            `json:"endpoint"`
	Errors           *struct{}         `json:"errors"` // always null: input is validated on upload
	InputFileID      string            `json:"input_file_id"`
	CompletionWindow string            `json:"completion_window"`
	Status           Status            `json:"status"`
	OutputFileID     string            `json:"output_file_id,omitempty"`
	ErrorFileID      string            `json:"error_file_id,omitempty"`
	CreatedAt        int64             `json:"created_at"`
	InProgressAt     int64             `json:"in_progress_at"`
	ExpiresAt        int64             `json:"expires_at"`
	CompletedAt      int64             `json:"completed_at,omitempty"`
	ExpiredAt        int64             `json:"expired_at,omitempty"`
	CancelledAt      int64             `json:"cancelled_at,omitempty"`
	RequestCounts    Counts            `json:"request_counts"`
	Metadata         map[string]string `json:"metadata"`
}

// ListObject is a page of batches.
type ListObject struct {
	Object  string        `json:"object"`
	Data    []BatchObject `json:"data"`
	FirstID string        `json:"first_id,omitempty"`
	LastID  string        `json:"last_id,omitempty"`
	HasMore bool          `json:"has_more"`
}

// Limits and defaults of batch requests.
const (
	defaultWindow          = 24 * time.Hour
	minWindow              = time.Minute
	defaultPageSize        = 20
	maxPageSize            = 100
	maxPageReads           = 8   // concurrent reads per page
	maxMetadataPairs       = 16  // pairs
	maxMetadataKeyBytes    = 64  // bytes
	maxMetadataValueBytes  = 512 // bytes
	maxIdempotencyKeyBytes = 255 // of Idempotency-Key
)

func (a *API) create(w http.ResponseWriter, r *http.Request, c *contract.Caller) error {
	ctx, cancel := withPlatformTimeout(r)
	defer cancel()
	var req CreateRequest
	if err := decodeBody(w, r, &req); err != nil {
		return err
	}
	sub, err := a.newSubmission(ctx, req, r.Header.Get("Idempotency-Key"), c)
	if err != nil {
		return err
	}
	j, err := a.Store.Submit(ctx, sub)
	if err != nil {
		return err
	}
	if a.OnAccepted != nil {
		a.OnAccepted()
	}
	return a.writeBatch(ctx, w, j)
}

// newSubmission validates a request and reports all its findings.
func (a *API) newSubmission(ctx context.Context, req CreateRequest, key string, c *contract.Caller) (Submission, error) {
	sub := Submission{
		Organisation: c.Organisation, Caller: c.ID, FileID: req.InputFileID, Endpoint: req.Endpoint,
		Window: defaultWindow, Metadata: req.Metadata, IdempotencyKey: key,
	}
	if a.Contract.Current() == nil {
		e := invalidRequest(http.StatusServiceUnavailable, "no_configuration", "", "this entry has no configuration yet")
		e.Type = "server_error"
		e.RetryAfter = outageRetryAfter
		return sub, e
	}
	var list finding.List
	if req.CompletionWindow != "" {
		window, err := time.ParseDuration(req.CompletionWindow)
		if err != nil || window < minWindow || window > MaxCompletionWindow {
			list.Add(finding.Finding{Key: "completion_window", Value: req.CompletionWindow, Reason: "must be a duration from 1m to 168h"})
		}
		sub.Window = window
	}
	checkMetadata(&list, req.Metadata)
	if len(key) > maxIdempotencyKeyBytes {
		list.Add(finding.Finding{Key: "Idempotency-Key", Reason: "longer than 255 bytes"})
	}
	file, err := a.ownFile(ctx, req.InputFileID, c)
	switch {
	case errors.Is(err, storage.ErrNotFound):
		list.Add(finding.Finding{Key: "input_file_id", Value: req.InputFileID, Reason: "no such file"})
	case err != nil:
		return sub, withOutcome(err, effect.NotPerformed)
	case file.Endpoint != req.Endpoint:
		list.Add(finding.Finding{Key: "endpoint", Value: req.Endpoint, Reason: "differs from the url of the file's lines, " + file.Endpoint})
	default:
		sub.Service = a.resolveService(file, &list)
	}
	if len(list) == 0 {
		return sub, nil
	}
	e := invalidRequest(http.StatusBadRequest, "invalid_batch", list[0].Key, "the request has findings; no batch was created")
	e.Findings = list
	return sub, e
}

// resolveService looks up the service of the file's model or endpoint in the
// configuration.
func (a *API) resolveService(file *File, list *finding.List) string {
	ix := a.Contract.Current()
	name, _, _ := ParseEndpoint(file.Endpoint)
	var s *contract.Service
	switch {
	case name == "":
		s = ix.ServiceForModel(file.Model)
	default:
		s = ix.Service(name)
	}
	if s == nil || (name != "" && s.Kind != contract.KindPlain) {
		list.Add(finding.Finding{Key: "endpoint", Value: file.Endpoint, Reason: "no service for it and model \"" + file.Model + "\""})
		return ""
	}
	return s.Name
}

func checkMetadata(list *finding.List, metadata map[string]string) {
	if len(metadata) > maxMetadataPairs {
		list.Add(finding.Finding{Key: "metadata", Reason: "more than 16 pairs"})
	}
	for k, v := range metadata {
		if len(k) > maxMetadataKeyBytes || len(v) > maxMetadataValueBytes {
			list.Add(finding.Finding{Key: "metadata." + k[:min(len(k), maxMetadataKeyBytes)], Reason: "key above 64 or value above 512 bytes"})
		}
	}
}

func (a *API) get(w http.ResponseWriter, r *http.Request, c *contract.Caller) error {
	ctx, cancel := withPlatformTimeout(r)
	defer cancel()
	j, err := a.ownJob(ctx, r.PathValue("id"), c)
	if err != nil {
		return err
	}
	return a.writeBatch(ctx, w, j)
}

// cancel responds with the final state, which is not cancelled if the job ended
// first.
func (a *API) cancel(w http.ResponseWriter, r *http.Request, c *contract.Caller) error {
	ctx, cancel := withPlatformTimeout(r)
	defer cancel()
	j, err := a.ownJob(ctx, r.PathValue("id"), c)
	if err != nil {
		return withOutcome(err, effect.NotPerformed)
	}
	j, err = a.Store.Cancel(ctx, j.ID)
	if err != nil {
		return err
	}
	if j.Status == StatusCancelled {
		a.AnnounceCancelled(j.ID)
	}
	return a.writeBatch(ctx, w, j)
}

func (a *API) list(w http.ResponseWriter, r *http.Request, c *contract.Caller) error {
	ctx, cancel := withPlatformTimeout(r)
	defer cancel()
	limit := defaultPageSize
	if s := r.URL.Query().Get("limit"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 1 || n > maxPageSize {
			return invalidRequest(http.StatusBadRequest, "invalid_limit", "limit", "must be from 1 to 100")
		}
		limit = n
	}
	after := r.URL.Query().Get("after")
	if after != "" {
		if _, err := a.ownJob(ctx, after, c); err != nil {
			return err
		}
	}
	jobs, more, err := a.Store.List(ctx, c.Organisation, after, limit)
	if err != nil {
		return err
	}
	page := ListObject{Object: "list", Data: make([]BatchObject, len(jobs)), HasMore: more}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxPageReads)
	for i, j := range jobs {
		group.Go(func() error {
			b, err := a.batchObject(ctx, j)
			page.Data[i] = b
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	if n := len(page.Data); n > 0 {
		page.FirstID, page.LastID = page.Data[0].ID, page.Data[n-1].ID
	}
	return writeJSON(w, page)
}

func (a *API) writeBatch(ctx context.Context, w http.ResponseWriter, j *Job) error {
	b, err := a.batchObject(ctx, j)
	if err != nil {
		return err
	}
	return writeJSON(w, b)
}

// batchObject returns the API representation of a job. Counts that are not stored
// in the job row are computed from the chunk rows.
func (a *API) batchObject(ctx context.Context, j *Job) (BatchObject, error) {
	b := BatchObject{
		ID: j.ID, Object: "batch", Endpoint: j.Endpoint, InputFileID: j.FileID, CompletionWindow: j.Window,
		Status: j.Status, CreatedAt: j.Created.Unix(), InProgressAt: j.Created.Unix(),
		ExpiresAt: j.Deadline.Unix(), Metadata: j.Metadata,
	}
	counts, err := a.counts.get(ctx, a.Store, j)
	if err != nil {
		return b, err
	}
	b.RequestCounts = *counts
	if !j.Status.Final() {
		return b, nil
	}
	b.OutputFileID = OutputFileID(j.ID)
	if counts.Completed < counts.Total {
		b.ErrorFileID = ErrorFileID(j.ID)
	}
	switch ended := j.Ended.Unix(); j.Status {
	case StatusCompleted:
		b.CompletedAt = ended
	case StatusCancelled:
		b.CancelledAt = ended
	case StatusExpired:
		b.ExpiredAt = ended
	}
	return b, nil
}
