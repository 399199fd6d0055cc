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

// Prefixes of rows and objects.
const (
	filePrefix     = "file/"
	jobPrefix      = "job/"
	chunkPrefix    = "chunk/"
	orgPrefix      = "orgjob/"
	bucketPrefix   = "running/bucket/"
	versionPrefix  = "running/version/"
	partObjects    = "file/"
	resultObjects  = "result/"
	partialObjects = "partial/"
)

// Ids of output files are derived from the job's id.
const (
	fileIDPrefix  = "file-"
	jobIDPrefix   = "batch_"
	outputSuffix  = "-output"
	errorsSuffix  = "-errors"
	derivedDigits = 32 // hex digits of a derived job id
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

func partKey(file string, n int) string { return fmt.Sprintf("%s%s/%06d", partObjects, file, n) }

// resultKey contains the claim, so that a late write of an earlier holder never
// replaces a committed object.
func resultKey(job string, index int, claim string) string {
	return fmt.Sprintf("%s%s/%06d-%s", resultObjects, job, index, claim)
}

func partialKey(job string, index int, claim string) string {
	return fmt.Sprintf("%s%s/%06d-%s", partialObjects, job, index, claim)
}

// orgJobKey sorts an organisation's jobs with the newest first.
func orgJobKey(org string, created time.Time, id string) string {
	return orgJobsKey(org) + fmt.Sprintf("%016x/%s", math.MaxInt64-created.UnixMilli(), id)
}

func orgJobsKey(org string) string { return orgPrefix + url.PathEscape(org) + "/" }

// buckets is the number of rows over which the index of running jobs is spread.
// Eight keep a changed bucket near 20 KB with 1,000 running jobs, and a scan of
// the version rows by 330 entries every 2 s at 1,320 rows/s.
const buckets = 8

func bucketOf(job string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(job))
	return int(h.Sum32() % buckets)
}

func bucketKey(b int) string  { return fmt.Sprintf("%s%02d", bucketPrefix, b) }
func versionKey(b int) string { return fmt.Sprintf("%s%02d", versionPrefix, b) }

func derivedID(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		fmt.Fprintf(h, "%d:%s,", len(p), p)
	}
	return jobIDPrefix + hex.EncodeToString(h.Sum(nil))[:derivedDigits]
}

// keyedID is the id of a job submitted with an Idempotency-Key.
func keyedID(caller, key string) string { return derivedID("key", caller, key) }

// inputID is the id of a job submitted without a key in one period of
// DedupWindow. Neighbouring periods are compared on insertion.
func inputID(caller, digest, endpoint string, period int64) string {
	return derivedID("input", caller, digest, endpoint, strconv.FormatInt(period, 10))
}

func period(t time.Time) int64 { return t.Unix() / int64(DedupWindow/time.Second) }

// OutputFileID is the id of a job's output file.
func OutputFileID(job string) string { return fileIDPrefix + job + outputSuffix }

// ErrorFileID is the id of a job's error file.
func ErrorFileID(job string) string { return fileIDPrefix + job + errorsSuffix }

// parseResultFileID splits the id of an output or error file.
func parseResultFileID(id string) (job string, errors, ok bool) {
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
