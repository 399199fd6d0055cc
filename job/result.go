package job

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
)

// Error codes in result lines.
const (
	codeAttempts  = "attempts_exhausted"
	codeUnknown   = "outcome_unknown"
	codeExpired   = "batch_expired"
	codeCancelled = "batch_cancelled"
)

// Results are the committed results of a chunk.
type Results struct {
	Output    []byte // JSON lines of responses with a 2xx status, in input order
	Errors    []byte // JSON lines of the other items, in input order
	Completed int
	Failed    int
}

func (r Results) reader() io.Reader {
	return io.MultiReader(bytes.NewReader(r.Output), bytes.NewReader(r.Errors))
}

// resultLine is one line of an output or error file.
type resultLine struct {
	ID       string          `json:"id"`
	CustomID string          `json:"custom_id"`
	Response *responseResult `json:"response"`
	Error    *errorResult    `json:"error"`
}

type responseResult struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

type errorResult struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func requestID(attempt string) string { return "batch_req_" + attempt }

// responseLine encodes a response as a result line. A body that is not JSON is
// encoded as a JSON string.
func responseLine(customID, attempt string, status int, body []byte) []byte {
	if !json.Valid(body) {
		body = mustJSON(string(body))
	}
	return append(mustJSON(resultLine{
		ID: requestID(attempt), CustomID: customID,
		Response: &responseResult{StatusCode: status, RequestID: attempt, Body: body},
	}), '\n')
}

// errorLine encodes an error as the result line of an item without a response.
func errorLine(customID, attempt, code, message string) []byte {
	return append(mustJSON(resultLine{
		ID: requestID(attempt), CustomID: customID,
		Error: &errorResult{Code: code, Message: message},
	}), '\n')
}

func succeeded(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// collectResults joins the results of a chunk's finished items.
func collectResults(items []*item) Results {
	var r Results
	for _, it := range items {
		if it.failed {
			r.Errors = append(r.Errors, it.result...)
			r.Failed++
			continue
		}
		r.Output = append(r.Output, it.result...)
		r.Completed++
	}
	return r
}
