// Package batch keeps batch jobs in the platform's store and runs their items
// on the slots that online work leaves free.
//
// A job is a row, its items are one object, each result is a row. The gateway
// that a job's row names as owner runs its items; every write to the row is
// conditional on its version, so that an owner that was replaced while it was
// paused can neither list a result nor take a job back.
package batch

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Errors of reads and ends.
var (
	// ErrNotFound: there is no such job or item.
	ErrNotFound = errors.New("no such job or item")
	// ErrStoreUnavailable: the store did not answer, so that nothing is known.
	ErrStoreUnavailable = errors.New("the store did not answer")
)

// SubmitOutcome is the outcome of a submission.
type SubmitOutcome uint8

// Outcomes of submissions.
const (
	Unknown     SubmitOutcome = iota // it may be accepted now or later
	Accepted                         // it is kept until it is done
	OverQuota                        // it does not fit; no part of it runs
	NotAccepted                      // no part of it runs
)

// String returns the name used in logs.
func (a SubmitOutcome) String() string {
	return [...]string{"unknown", "accepted", "over_quota", "not_accepted"}[a]
}

// Item is one request of a job.
type Item struct {
	ID     string
	Target string // path and query
	Header map[string]string
	Body   []byte
	Tokens int64 // of the prompt and the longest output
}

// Submission is a job as it was sent, and the content of its object.
type Submission struct {
	ID    string
	Route string
	Host  string
	Items []Item
}

func (s *Submission) tokens() int64 {
	var sum int64
	for i := range s.Items {
		sum += s.Items[i].Tokens
	}
	return sum
}

// Result is the end of one item.
type Result struct {
	Item      string
	Abandoned bool // it can never be done, or its job has ended
	Output    string
}

// Page is a part of a job's results.
type Page struct {
	Total   int
	Results []Result
}

// Job is the content of a job's row.
type Job struct {
	ID               string
	Route            string
	Owner            string `json:",omitempty"` // name of a gateway; empty if it was given back
	OwnerIncarnation uint64 `json:",omitempty"`
	Created          int64  // Unix ms at the gateway that accepted it
	Total            int
	Listed           int         // results at positions 0 to Listed-1
	OpenTokens       int64       // of the items that are not listed
	Ended            bool        `json:",omitempty"` // its client ended it
	Failures         map[int]int `json:",omitempty"` // failed attempts of items that are not listed, by index
	Commit           uint64      // random; tells the writer of this version that its write took effect
}

func (j *Job) closed() bool { return j.Ended || j.Listed >= j.Total }

const (
	jobPrefix    = "batch/jobs/"
	quotaPrefix  = jobPrefix + "quota:"
	idPrefix     = jobPrefix + "job:"
	resultPrefix = "batch/results/"
	objectPrefix = "job-"
	// partBytes bounds the output in one result row; rows hold 64 KiB in base64.
	partBytes = 40 << 10
)

func jobKey(id string) string      { return idPrefix + id }
func quotaKey(route string) string { return quotaPrefix + route }
func objectKey(id string) string   { return objectPrefix + id }

// resultKey orders by position, then by part.
func resultKey(job string, position, part int) string {
	return fmt.Sprintf("%s%s/%06d.%03d", resultPrefix, job, position, part)
}

// resultHead is the first line of a result row; the output follows it.
type resultHead struct {
	Item      string
	Abandoned bool `json:",omitempty"`
	More      bool `json:",omitempty"` // the output goes on in the next row
}

// resultRows splits a result into values of rows.
func resultRows(r Result) [][]byte {
	var rows [][]byte
	output := r.Output
	for {
		part := output[:min(len(output), partBytes)]
		output = output[len(part):]
		head, err := json.Marshal(resultHead{Item: r.Item, Abandoned: r.Abandoned, More: output != ""})
		if err != nil {
			panic(err) // a struct of strings and bools always encodes
		}
		rows = append(rows, append(append(head, '\n'), part...))
		if output == "" {
			return rows
		}
	}
}

// parseResultRow returns a row's part of a result and whether more follow.
func parseResultRow(value []byte) (Result, bool, error) {
	line, output, found := bytes.Cut(value, []byte("\n"))
	var head resultHead
	if err := json.Unmarshal(line, &head); err != nil || !found {
		return Result{}, false, trace.BadParameter("result row not understood")
	}
	return Result{Item: head.Item, Abandoned: head.Abandoned, Output: string(output)}, head.More, nil
}

// position returns the position that a result key stands for.
func position(key, job string) (int, error) {
	rest := strings.TrimPrefix(key, resultPrefix+job+"/")
	number, _, _ := strings.Cut(rest, ".")
	n, err := strconv.Atoi(number)
	return n, trace.Wrap(err, "result key %q", key)
}

func age(j *Job, now time.Time) time.Duration {
	return now.Sub(time.UnixMilli(j.Created))
}
