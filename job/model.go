// Package job implements the batch API: uploaded files, jobs, chunks of items,
// results, chunk scheduling, and the runner that executes items.
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
	DedupWindow         = time.Hour // a repeated request without a key returns the same job
	MaxAttempts         = 3         // per item; preempted and refused attempts are not counted
	ClaimExpiry         = 60 * time.Second
	RenewInterval       = 20 * time.Second
)

// Errors returned by Store, possibly wrapped.
var (
	// ErrClaimLost means that the chunk's row is no longer at the version of the
	// claim, or that the job has ended. The holder stops work on the chunk.
	ErrClaimLost = errors.New("claim lost")
	// ErrNotWritten means that nothing was written and that nothing will be.
	ErrNotWritten = errors.New("nothing was written")
	// ErrIdempotencyMismatch means that the idempotency key was used with other input.
	ErrIdempotencyMismatch = errors.New("idempotency key was used for another request")
)

// Status is the state of a job, as named by the OpenAI API.
type Status string

// States of a job. Chunks can be committed only while the job is running.
const (
	StatusRunning   Status = "in_progress"
	StatusCompleted Status = "completed"
	StatusCancelled Status = "cancelled"
	StatusExpired   Status = "expired"
)

// Final reports whether the state is terminal.
func (s Status) Final() bool { return s != StatusRunning }

// FilePart is one object of a file. It holds whole lines of about targetPartBytes in total.
type FilePart struct {
	Lines int `json:"l"`
	Bytes int `json:"b"`
}

// File is the row of an uploaded input file.
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
	KeepUntil    time.Time  `json:"keep_until"` // extended when a job uses the file
}

// Counts are numbers of items.
type Counts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

// Job is the row of a batch job. It is written only when the job is created and
// when it ends, so its version identifies its state.
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

// Chunks returns the number of chunks of the job.
func (j *Job) Chunks() int { return chunkCount(j.Items) }

func chunkCount(items int) int { return (items + ChunkItems - 1) / ChunkItems }

// chunkLen returns the number of items in a chunk.
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
	Partial string     `json:"partial,omitempty"` // key of the object with the item states of an earlier holder
	// Intended lists non-repeatable items that a holder recorded before starting
	// them and whose results are in no object. A later holder must not run them.
	Intended    []int `json:"intended,omitempty"`
	Renewals    int   `json:"renewals,omitempty"`
	Completed   int   `json:"completed,omitempty"`
	Failed      int   `json:"failed,omitempty"`
	OutputBytes int64 `json:"output_bytes,omitempty"` // output lines, stored first in the results object
	ErrorBytes  int64 `json:"error_bytes,omitempty"`  // error lines, stored after the output

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
