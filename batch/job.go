// Package batch stores batch jobs in the platform's store and runs their items
// on the slots that online requests leave free.
//
// A job is stored as a row, its items as one object, and each result as one or
// more rows. The gateway named as owner in the job's row runs its items. Every
// write to the row is conditional on its version, so an owner that was replaced
// while it was paused can neither list a result nor reclaim the job. A result is
// listed once it is stored at a position that clients can read.
package batch

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/magnoliausher/magnoliausher/batch/jobrow"
	"github.com/magnoliausher/magnoliausher/effect"
	"github.com/magnoliausher/magnoliausher/intake"
)

// Errors returned by reads and cancellations.
var (
	// ErrNotFound reports that the job or item does not exist.
	ErrNotFound = errors.New("no such job or item")
	// ErrStoreUnavailable reports that the store gave no usable answer, so that the
	// state of the job is unknown.
	ErrStoreUnavailable = errors.New("store gave no usable answer")
)

// SubmitOutcome says whether a submitted job was accepted, as far as is known.
type SubmitOutcome uint8

// Outcomes of submissions.
const (
	Unknown     SubmitOutcome = iota // the job may already be accepted, or become accepted later
	Accepted                         // the job is stored until it is complete
	OverQuota                        // the job exceeds the token quota of its route; no item runs
	NotAccepted                      // no item runs
)

// String returns the name of the outcome in logs.
func (o SubmitOutcome) String() string {
	return [...]string{"unknown", "accepted", "over_quota", "not_accepted"}[o]
}

// Effect returns what is known of the job's acceptance.
func (o SubmitOutcome) Effect() effect.Outcome {
	switch o {
	case Accepted:
		return effect.Performed
	case OverQuota, NotAccepted:
		return effect.NotPerformed
	}
	return effect.Unknown
}

// Item is one request of a job.
type Item struct {
	ID     string
	Target string // path and query
	Header map[string]string
	Body   []byte
	Tokens int64 // tokens of the prompt plus the maximum output
}

const (
	// ItemBytes is the memory for an item beside its texts and its header fields: its fields,
	// its map, and its state while the job runs.
	ItemBytes = 1 << 10
	// HeaderFieldBytes is the memory for a header field in an item's map beside its texts.
	// Fields of 6 bytes took 13 times what was charged when only their texts counted. Each
	// short text can keep a block of 16 bytes of the allocator to itself.
	HeaderFieldBytes = 96
)

// Submission is a job as submitted. Its JSON encoding is the content of the job's
// object in the store.
type Submission struct {
	ID    string
	Route string
	Host  string
	Items []Item
	// Organisation of the caller; empty if the configuration has none.
	Organisation string `json:",omitempty"`
}

// Memory returns the estimated memory of the items.
func (s *Submission) Memory() int64 {
	var size int64
	for i := range s.Items {
		item := &s.Items[i]
		size += int64(ItemBytes + cap(item.Body) + len(item.ID) + len(item.Target))
		for name, value := range item.Header {
			size += int64(HeaderFieldBytes + len(name) + len(value))
		}
	}
	return size
}

// Account counts the memory of the items in a budget for as long as the submission is
// referenced. Jobs that were accepted run, so the budget may be exceeded.
func (s *Submission) Account(budget *intake.Budget) {
	if share := budget.Charge(s.Memory()); share != nil {
		runtime.AddCleanup(s, (*intake.Share).Release, share)
	}
}

func (s *Submission) itemIDs() []string {
	ids := make([]string, len(s.Items))
	for i := range s.Items {
		ids[i] = s.Items[i].ID
	}
	return ids
}

func (s *Submission) tokens() int64 {
	var sum int64
	for i := range s.Items {
		sum += s.Items[i].Tokens
	}
	return sum
}

// Result is the final result of one item.
type Result struct {
	Item      string
	Abandoned bool // the item can never complete, or its job has ended
	Output    string
}

// Job is the content of a job's row.
type Job = jobrow.Job

const (
	jobTablePrefix  = "batch/jobs/"
	quotaKeyPrefix  = jobTablePrefix + "quota:"
	resultKeyPrefix = "batch/results/"
	objectKeyPrefix = "job-"
	// organisationObjectPrefix is not a prefix of keys with objectKeyPrefix, whatever the ID.
	organisationObjectPrefix = "jobs-of-"
	// maxPartBytes limits the output in one result row; a row holds 64 KiB in base64.
	maxPartBytes = 40 << 10
)

// quotaKey returns the key of the row that every acceptance for an organisation on a
// route rewrites. Each organisation has a row of its own, so that those with many jobs
// don't make the commits of others conflict. Without an organisation, the key is that of
// earlier builds, unless the route's name could be taken for an escaped pair.
func quotaKey(route, organisation string) string {
	switch {
	case organisation != "":
		return quotaKeyPrefix + url.QueryEscape(route) + organisationSeparator + url.QueryEscape(organisation)
	case strings.ContainsAny(route, organisationSeparator+"%"):
		return quotaKeyPrefix + url.QueryEscape(route)
	}
	return quotaKeyPrefix + route
}

// organisationSeparator stands between two names in a key. Escaped names don't contain
// it, so no two pairs of names share a key.
const organisationSeparator = "!"

// objectKey returns the key of the object with a job's items. It names the organisation,
// so that a submission of the same ID by another one cannot replace the items of a stored
// job. Without an organisation, it is the key of earlier builds.
func objectKey(organisation, id string) string {
	if organisation == "" {
		return objectKeyPrefix + id
	}
	return organisationObjectPrefix + url.QueryEscape(organisation) + organisationSeparator + id
}

// resultKey returns the key of a result row. Keys sort by position, then by part.
func resultKey(job string, position, part int) string {
	return fmt.Sprintf("%s%s/%06d.%03d", resultKeyPrefix, job, position, part)
}

// resultHeader is the first line of a result row, in JSON; the output follows it.
type resultHeader struct {
	Item      string
	Abandoned bool `json:",omitempty"`
	More      bool `json:",omitempty"` // the output continues in the next row
}

// resultRows encodes a result as the values of one or more rows.
func resultRows(r Result) [][]byte {
	var rows [][]byte
	output := r.Output
	for {
		part := output[:min(len(output), maxPartBytes)]
		output = output[len(part):]
		header, err := json.Marshal(resultHeader{Item: r.Item, Abandoned: r.Abandoned, More: output != ""})
		if err != nil {
			panic(err) // unreachable: a struct of strings and bools always encodes
		}
		rows = append(rows, append(append(header, '\n'), part...))
		if output == "" {
			return rows
		}
	}
}

// parseResultRow decodes one part of a result and reports whether more parts follow.
func parseResultRow(value []byte) (Result, bool, error) {
	line, output, found := bytes.Cut(value, []byte("\n"))
	var header resultHeader
	if err := json.Unmarshal(line, &header); err != nil || !found {
		return Result{}, false, trace.BadParameter("malformed result row")
	}
	return Result{Item: header.Item, Abandoned: header.Abandoned, Output: string(output)}, header.More, nil
}

// resultPosition returns the position encoded in a result key.
func resultPosition(key, job string) (int, error) {
	suffix := strings.TrimPrefix(key, resultKeyPrefix+job+"/")
	number, _, _ := strings.Cut(suffix, ".")
	n, err := strconv.Atoi(number)
	return n, trace.Wrap(err, "result key %q", key)
}

func jobAge(j *Job, now time.Time) time.Duration {
	return now.Sub(time.UnixMilli(j.Created))
}
