package job

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"math"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Key prefixes of rows and objects.
const (
	filePrefix          = "file/"
	jobPrefix           = "job/"
	chunkPrefix         = "chunk/"
	orgJobPrefix        = "orgjob/"
	indexBucketPrefix   = "running/bucket/"
	indexVersionPrefix  = "running/version/"
	partObjectPrefix    = "file/"
	resultObjectPrefix  = "result/"
	partialObjectPrefix = "partial/"
)

// Parts of file and job ids. The id of a result file is derived from the job's id.
const (
	fileIDPrefix    = "file-"
	jobIDPrefix     = "batch_"
	outputSuffix    = "-output"
	errorsSuffix    = "-errors"
	derivedIDDigits = 32 // hex digits of a derived job id
)

func fileKey(id string) string   { return filePrefix + id }
func jobKey(id string) string    { return jobPrefix + id }
func chunksKey(id string) string { return chunkPrefix + id + "/" }

func chunkKey(job string, index int) string {
	return fmt.Sprintf("%s%s/%06d", chunkPrefix, job, index)
}

func chunkIndex(key string) (int, error) {
	return strconv.Atoi(key[strings.LastIndexByte(key, '/')+1:])
}

func partKey(file string, n int) string { return fmt.Sprintf("%s%s/%06d", partObjectPrefix, file, n) }

// resultKey includes the claim id, so that a delayed write of an earlier holder
// never overwrites a committed object.
func resultKey(job string, index int, claim string) string {
	return fmt.Sprintf("%s%s/%06d-%s", resultObjectPrefix, job, index, claim)
}

func partialKey(job string, index int, claim string) string {
	return fmt.Sprintf("%s%s/%06d-%s", partialObjectPrefix, job, index, claim)
}

// orgJobKey returns a key that orders an organisation's jobs newest first.
func orgJobKey(org string, created time.Time, id string) string {
	return orgJobsKey(org) + fmt.Sprintf("%016x/%s", math.MaxInt64-created.UnixMilli(), id)
}

func orgJobsKey(org string) string { return orgJobPrefix + url.PathEscape(org) + "/" }

// indexBuckets is the number of rows that the index of running jobs is sharded into.
// With eight, a changed bucket is about 20 KB for 1,000 running jobs, and 330
// entries that scan the version rows every 2 s read 1,320 rows/s.
const indexBuckets = 8

func bucketOf(job string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(job))
	return int(h.Sum32() % indexBuckets)
}

func bucketKey(b int) string  { return fmt.Sprintf("%s%02d", indexBucketPrefix, b) }
func versionKey(b int) string { return fmt.Sprintf("%s%02d", indexVersionPrefix, b) }

func derivedID(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		fmt.Fprintf(h, "%d:%s,", len(p), p)
	}
	return jobIDPrefix + hex.EncodeToString(h.Sum(nil))[:derivedIDDigits]
}

// keyedID returns the id of a job submitted with an Idempotency-Key.
func keyedID(caller, key string) string { return derivedID("key", caller, key) }

// dedupID returns the id of a job submitted without a key. Equal requests in one
// period of DedupWindow get the same id; submission also checks the adjacent periods.
func dedupID(caller, digest, endpoint string, period int64) string {
	return derivedID("input", caller, digest, endpoint, strconv.FormatInt(period, 10))
}

func dedupPeriod(t time.Time) int64 { return t.Unix() / int64(DedupWindow/time.Second) }

// OutputFileID returns the id of a job's output file.
func OutputFileID(job string) string { return fileIDPrefix + job + outputSuffix }

// ErrorFileID returns the id of a job's error file.
func ErrorFileID(job string) string { return fileIDPrefix + job + errorsSuffix }

// parseResultFileID returns the job id of an output or error file id.
func parseResultFileID(id string) (job string, isErrors, ok bool) {
	rest, ok := strings.CutPrefix(id, fileIDPrefix+jobIDPrefix)
	if !ok {
		return "", false, false
	}
	if j, ok := strings.CutSuffix(rest, outputSuffix); ok {
		return jobIDPrefix + j, false, true
	}
	if j, ok := strings.CutSuffix(rest, errorsSuffix); ok {
		return jobIDPrefix + j, true, true
	}
	return "", false, false
}

func hexString(b []byte) string { return hex.EncodeToString(b) }
