package job

import (
	"context"
	"errors"
	"io"
	"mime/multipart"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/storage"
)

// FileObject is the file object of the OpenAI API.
type FileObject struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int64  `json:"bytes"`
	CreatedAt int64  `json:"created_at"` // Unix seconds
	ExpiresAt int64  `json:"expires_at"` // Unix seconds
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"` // batch or batch_output
	Status    string `json:"status"`
}

// Purposes of files.
const (
	purposeBatch  = "batch"
	purposeOutput = "batch_output"
)

// formOverheadBytes is the maximum size of a multipart body without the file's content.
const formOverheadBytes = 64 << 10

// maxPurposeBytes is the maximum length of the purpose field.
const maxPurposeBytes = 64

// maxUploads is the maximum number of concurrent uploads of one entry. Each needs up
// to 2 MiB for its part and 10 MiB for the ids of 200,000 items.
const maxUploads = 4

// upload handles POST /v1/files. It streams the form's file part to the store; the
// purpose field may come before or after it.
func (a *API) upload(w http.ResponseWriter, r *http.Request, c *contract.Caller) error {
	if a.uploads.Add(1) > maxUploads {
		a.uploads.Add(-1)
		e := invalidRequest(http.StatusTooManyRequests, "uploads_in_progress", "", "this entry has too many uploads in progress")
		e.Type = "rate_limit_error"
		e.RetryAfter = outageRetryAfter
		return e
	}
	defer a.uploads.Add(-1)
	r.Body = http.MaxBytesReader(w, &steadyBody{ReadCloser: r.Body, controller: http.NewResponseController(w)}, MaxFileBytes+formOverheadBytes)
	form, err := r.MultipartReader()
	if err != nil {
		return invalidRequest(http.StatusBadRequest, "invalid_form", "", "the body must be multipart/form-data")
	}
	var file *File
	purpose := ""
	for {
		part, err := form.NextPart()
		if errors.Is(err, io.EOF) {
			break
		}
		if err == nil {
			err = a.readFormPart(r.Context(), part, c, &file, &purpose)
		}
		if err != nil {
			a.removeRefusedFile(r.Context(), file)
			return formError(err)
		}
	}
	if file == nil {
		return invalidRequest(http.StatusBadRequest, "missing_file", "file", "the form has no file")
	}
	if purpose != purposeBatch {
		a.removeRefusedFile(r.Context(), file)
		return invalidRequest(http.StatusBadRequest, "invalid_purpose", "purpose", "must be batch")
	}
	return writeJSON(w, fileObject(file))
}

const (
	// uploadStall is the longest time without a byte of an upload. Uploads that stood still
	// would otherwise keep all others out.
	uploadStall = 30 * time.Second
	// minUploadRate is the least progress of an upload in bytes a second over each
	// uploadStall. One that sent a byte every 29 s kept its place without end.
	minUploadRate = 8 << 10
)

// steadyBody is a body whose reads fail if nothing arrives for uploadStall or if it arrives
// at less than minUploadRate. Only the time within reads counts, since the store may hold
// up the reader. At its end the server resets the deadline.
type steadyBody struct {
	io.ReadCloser
	controller *http.ResponseController
	waited     time.Duration // within reads, since progress was last judged
	received   int64         // in that time
}

// Read implements io.Reader.
func (b *steadyBody) Read(p []byte) (int, error) {
	began := time.Now()
	_ = b.controller.SetReadDeadline(began.Add(uploadStall)) // not supported by every writer
	n, err := b.ReadCloser.Read(p)
	b.waited += time.Since(began)
	b.received += int64(n)
	if err != nil || b.waited < uploadStall {
		return n, err
	}
	if float64(b.received) < minUploadRate*b.waited.Seconds() {
		_ = b.controller.SetReadDeadline(time.Unix(1, 0)) // the server would wait for some of the rest
		return 0, invalidRequest(http.StatusRequestTimeout, "upload_too_slow", "file", "the file arrives too slowly; nothing was stored")
	}
	b.waited, b.received = 0, 0
	return n, nil
}

func (a *API) readFormPart(ctx context.Context, part *multipart.Part, c *contract.Caller, file **File, purpose *string) error {
	var err error
	switch part.FormName() {
	case "purpose":
		var b []byte
		b, err = io.ReadAll(io.LimitReader(part, maxPurposeBytes))
		*purpose = string(b)
	case "file":
		if *file != nil {
			return invalidRequest(http.StatusBadRequest, "several_files", "file", "the form has more than one file")
		}
		*file, err = a.Store.Upload(ctx, c.Organisation, c.ID, part.FileName(), part)
	}
	return err
}

// formError converts the error of a truncated body to a client error. It returns other
// errors unchanged.
func formError(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return invalidRequest(http.StatusBadRequest, "truncated_body", "", "the body ended early; nothing was stored")
	}
	return err
}

// removeRefusedFile removes a stored file whose form is invalid.
func (a *API) removeRefusedFile(ctx context.Context, f *File) {
	if f == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), platformTimeout)
	defer cancel()
	if err := a.Store.removeFile(ctx, f.ID, nil); err != nil {
		a.Log.Warn().Err(err).Str("file", f.ID).Msg("failed to remove refused file")
	}
}

func fileObject(f *File) FileObject {
	return FileObject{
		ID: f.ID, Object: "file", Bytes: f.Bytes, CreatedAt: f.Created.Unix(), ExpiresAt: f.KeepUntil.Unix(),
		Filename: f.Name, Purpose: purposeBatch, Status: "processed",
	}
}

func (a *API) getFile(w http.ResponseWriter, r *http.Request, c *contract.Caller) error {
	ctx, cancel := withPlatformTimeout(r)
	defer cancel()
	id := r.PathValue("id")
	if job, isErrors, ok := parseResultFileID(id); ok {
		j, bytes, err := a.resultFile(ctx, job, isErrors, c)
		if err != nil {
			return err
		}
		return writeJSON(w, FileObject{
			ID: id, Object: "file", Bytes: bytes, CreatedAt: j.Ended.Unix(),
			ExpiresAt: j.expiresAt().Unix(), Filename: id + ".jsonl", Purpose: purposeOutput, Status: "processed",
		})
	}
	f, err := a.ownFile(ctx, id, c)
	if err != nil {
		return err
	}
	return writeJSON(w, fileObject(f))
}

func (a *API) ownFile(ctx context.Context, id string, c *contract.Caller) (*File, error) {
	f, err := a.Store.File(ctx, id)
	if err != nil {
		return nil, err
	}
	if f.Organisation != c.Organisation {
		return nil, storage.ErrNotFound
	}
	return f, nil
}

// resultFile returns an ended job and the size of its output or error file. The
// size of an error file that includes unprocessed items is found by generating it.
func (a *API) resultFile(ctx context.Context, id string, isErrors bool, c *contract.Caller) (*Job, int64, error) {
	j, err := a.ownJob(ctx, id, c)
	if err != nil {
		return nil, 0, err
	}
	if !j.Status.Final() {
		return nil, 0, storage.ErrNotFound
	}
	if isErrors && j.Status != StatusCompleted {
		var n byteCounter
		err := a.Store.WriteResults(ctx, j, true, &n)
		return j, int64(n), err
	}
	done, err := a.Store.DoneChunks(ctx, j)
	var sum int64
	for i := range done {
		if isErrors {
			sum += done[i].ErrorBytes
		} else {
			sum += done[i].OutputBytes
		}
	}
	return j, sum, err
}

type byteCounter int64

func (n *byteCounter) Write(p []byte) (int, error) {
	*n += byteCounter(len(p))
	return len(p), nil
}

// getContent streams a file. If it fails midway, it aborts the connection, so that
// the client does not mistake a truncated file for a complete one.
func (a *API) getContent(w http.ResponseWriter, r *http.Request, c *contract.Caller) error {
	ctx := r.Context()
	id := r.PathValue("id")
	write, size, err := a.content(ctx, id, c)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/jsonl")
	if size >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	}
	if err := write(w); err != nil {
		a.Log.Warn().Err(err).Str("file", id).Msg("failed to stream file")
		panic(http.ErrAbortHandler)
	}
	return nil
}

// content returns a function that writes the file's content, and its size or -1 if
// the size is not known in advance.
func (a *API) content(ctx context.Context, id string, c *contract.Caller) (func(io.Writer) error, int64, error) {
	lookupCtx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	job, isErrors, ok := parseResultFileID(id)
	if !ok {
		f, err := a.ownFile(lookupCtx, id, c)
		if err != nil {
			return nil, 0, trace.Wrap(err)
		}
		return func(w io.Writer) error { return a.Store.WriteInput(ctx, f, w) }, f.Bytes, nil
	}
	j, err := a.ownJob(lookupCtx, job, c)
	if err != nil {
		return nil, 0, trace.Wrap(err)
	}
	if !j.Status.Final() {
		return nil, 0, storage.ErrNotFound
	}
	return func(w io.Writer) error { return a.Store.WriteResults(ctx, j, isErrors, w) }, -1, nil
}
