// Package job holds batch work: uploaded files, jobs, chunks of items, their
// results, the scheduling of chunks, and the runner that executes items.
//
// All durable state is in platform rows and objects. A row's version is the
// fencing token of the lease that it records.
package job

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"time"
)

// Limits of files and jobs.
const (
	ChunkItems          = 100
	MaxItems            = 200_000
	MaxLineBytes        = 1 << 20
	MaxFileBytes        = 1 << 30
	Retention           = 7 * 24 * time.Hour
	MaxCompletionWindow = 7 * 24 * time.Hour
	DedupWindow         = time.Hour // a resend without a key within it gets the same job
	MaxAttempts         = 3         // per item; preemption and refusals do not count
	ClaimExpiry         = 60 * time.Second
	RenewInterval       = 20 * time.Second
)

// Errors of the store, possibly wrapped.
var (
	// ErrClaimLost: the chunk's row is no longer at the version of the claim, or the
	// job has ended. The holder stops work on the chunk.
	ErrClaimLost = errors.New("claim lost")
	// ErrNotWritten: the platform failed before anything was written.
	ErrNotWritten = errors.New("nothing was written")
	// ErrIdempotencyMismatch: the idempotency key was used with other input.
	ErrIdempotencyMismatch = errors.New("idempotency key was used for another request")
)

// Status is the state of a job, with the names of the OpenAI API.
type Status string

// States of a job. Only a running job accepts commits of chunks.
const (
	StatusRunning   Status = "in_progress"
	StatusCompleted Status = "completed"
	StatusCancelled Status = "cancelled"
	StatusExpired   Status = "expired"
)

// Final reports whether the state never changes again.
func (s Status) Final() bool { return s != StatusRunning }

// FilePart is one object of a file: whole lines, about partBytes in all.
type FilePart struct {
	Lines int `json:"l"`
	Bytes int `json:"b"`
}

// File is the row of an uploaded input.
type File struct {
	ID           string     `json:"id"`
	Organisation string     `json:"organisation"`
	Caller       string     `json:"caller"`
	Name         string     `json:"name"`
	Bytes        int64      `json:"bytes"`
	Items        int        `json:"items"`
	Digest       string     `json:"digest"`          // SHA-256 of the content, hex
	Endpoint     string     `json:"endpoint"`        // url of every line
	Model        string     `json:"model,omitempty"` // model of every line, for engine endpoints
	Parts        []FilePart `json:"parts"`
	Created      time.Time  `json:"created"`
	KeepUntil    time.Time  `json:"keep_until"` // later when a job uses the file
}

// Counts are numbers of items.
type Counts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

// Job is the row of a batch job. It is written when the job is created and when
// it ends, so its version stands for its state.
type Job struct {
	ID           string            `json:"id"`
	Organisation string            `json:"organisation"`
	Caller       string            `json:"caller"`
	FileID       string            `json:"file_id"`
	InputDigest  string            `json:"input_digest"`
	Endpoint     string            `json:"endpoint"`
	Service      string            `json:"service"`
	Window       string            `json:"window"`
	Metadata     map[string]string `json:"metadata,omitempty"`
	Items        int               `json:"items"`
	Status       Status            `json:"status"`
	Created      time.Time         `json:"created"`
	Deadline     time.Time         `json:"deadline"`
	Ended        time.Time         `json:"ended,omitzero"`
	Counts       *Counts           `json:"counts,omitempty"` // set on completion

	Version uint64 `json:"-"` // of the row
}

// Chunks is the number of chunks of the job.
func (j *Job) Chunks() int { return chunkCount(j.Items) }

func chunkCount(items int) int { return (items + ChunkItems - 1) / ChunkItems }

// chunkLen is the number of items in a chunk.
func (j *Job) chunkLen(index int) int {
	return min(ChunkItems, j.Items-index*ChunkItems)
}

// ChunkState is the state of a chunk's row. A chunk without a row is free.
type ChunkState string

// States of a chunk.
const (
	ChunkClaimed  ChunkState = "claimed"
	ChunkReturned ChunkState = "returned"
	ChunkDone     ChunkState = "done"
)

// Chunk is the row of a chunk. A done chunk never changes.
type Chunk struct {
	State   ChunkState `json:"state"`
	Holder  string     `json:"holder,omitempty"`
	ClaimID string     `json:"claim_id"`          // unique per claim
	Partial string     `json:"partial,omitempty"` // object with item states of an earlier holder
	// Intended lists non-repeatable items that a holder was about to start and
	// whose results are in no object. A later holder must not run them.
	Intended    []int `json:"intended,omitempty"`
	Renewals    int   `json:"renewals,omitempty"`
	Completed   int   `json:"completed,omitempty"`
	Failed      int   `json:"failed,omitempty"`
	OutputBytes int64 `json:"output_bytes,omitempty"` // at the start of the results object
	ErrorBytes  int64 `json:"error_bytes,omitempty"`  // after the output

	Index   int    `json:"-"`
	Version uint64 `json:"-"` // of the row
}

const idBytes = 16

// newID returns a random id with a prefix.
func newID(prefix string) string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:]) // never fails since Go 1.24
	return prefix + hex.EncodeToString(b[:])
}
