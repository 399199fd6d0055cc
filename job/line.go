package job

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/magnoliausher/magnoliausher/finding"
)

// Batch endpoints served by engines, and the path prefix of plain services.
const (
	EndpointChat        = "/v1/chat/completions"
	EndpointCompletions = "/v1/completions"
	servicesPath        = "/services/"
)

// maxCustomIDBytes is the maximum length of an item's custom_id.
const maxCustomIDBytes = 512

// inputLine is one line of an input file.
type inputLine struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// ParseEndpoint splits a batch endpoint into service and path. For engines,
// service is empty and path is the whole endpoint.
func ParseEndpoint(endpoint string) (service, path string, ok bool) {
	if endpoint == EndpointChat || endpoint == EndpointCompletions {
		return "", endpoint, true
	}
	rest, ok := strings.CutPrefix(endpoint, servicesPath)
	if !ok {
		return "", "", false
	}
	service, path, ok = strings.Cut(rest, "/")
	return service, "/" + path, ok && service != "" && path != ""
}

// validator checks the lines of one file. It keeps a 16-byte digest of each
// custom_id to detect duplicates, and at most maxFindings findings.
type validator struct {
	file            string
	seenIDs         map[[16]byte]struct{}
	findings        finding.List
	omittedFindings int // findings not reported, above maxFindings
	endpoint        string
	model           string
	items           int
}

// maxFindings is the maximum number of findings in a response.
const maxFindings = 10_000

func (v *validator) addFinding(line int, key, value, reason string) {
	if len(v.findings) >= maxFindings {
		v.omittedFindings++
		return
	}
	if len(value) > 100 {
		value = value[:100] + "..."
	}
	v.findings.Add(finding.Finding{File: v.file, Line: line, Key: key, Value: value, Reason: reason})
}

// checkLine validates one line; n is the line number, from 1.
func (v *validator) checkLine(n int, raw []byte) {
	v.items++
	if v.items > MaxItems {
		if v.items == MaxItems+1 {
			v.addFinding(n, "", "", "more than 200,000 items")
		}
		return
	}
	var l inputLine
	if err := json.Unmarshal(raw, &l); err != nil {
		v.addFinding(n, "", "", "not a JSON object of a batch item: "+err.Error())
		return
	}
	v.checkCustomID(n, l.CustomID)
	service := v.checkURL(n, l.URL)
	v.checkMethod(n, l.Method, service)
	v.checkBody(n, l.Body, service)
}

func (v *validator) checkCustomID(n int, id string) {
	switch {
	case id == "":
		v.addFinding(n, "custom_id", "", "missing")
		return
	case len(id) > maxCustomIDBytes:
		v.addFinding(n, "custom_id", id, "longer than 512 bytes")
		return
	}
	k := shortDigest(id)
	if _, twice := v.seenIDs[k]; twice {
		v.addFinding(n, "custom_id", id, "used by an earlier line")
	}
	v.seenIDs[k] = struct{}{}
}

func (v *validator) checkURL(n int, url string) (service string) {
	service, _, ok := ParseEndpoint(url)
	switch {
	case url == "":
		v.addFinding(n, "url", "", "missing")
	case !ok:
		v.addFinding(n, "url", url, "not an endpoint for batches")
	case v.endpoint == "":
		v.endpoint = url
	case v.endpoint != url:
		v.addFinding(n, "url", url, "differs from the first line's "+v.endpoint)
	}
	return service
}

func (v *validator) checkMethod(n int, method, service string) {
	switch method {
	case "":
		v.addFinding(n, "method", "", "missing")
	case http.MethodPost:
	case http.MethodGet, http.MethodPut, http.MethodPatch, http.MethodDelete:
		if service == "" {
			v.addFinding(n, "method", method, "must be POST")
		}
	default:
		v.addFinding(n, "method", method, "not a method for batches")
	}
}

// checkBody checks the body of a line. service is the plain service of the line's URL;
// it is empty for a URL of engines.
func (v *validator) checkBody(n int, body json.RawMessage, service string) {
	if service != "" {
		return // a plain service accepts any JSON value or no body
	}
	var b struct {
		Model  string `json:"model"`
		Stream bool   `json:"stream"`
	}
	if len(body) == 0 {
		v.addFinding(n, "body", "", "missing")
		return
	}
	if err := json.Unmarshal(body, &b); err != nil {
		v.addFinding(n, "body", "", "not a JSON object of a request: "+err.Error())
		return
	}
	switch {
	case b.Model == "":
		v.addFinding(n, "body.model", "", "missing")
	case v.model == "":
		v.model = b.Model
	case v.model != b.Model:
		v.addFinding(n, "body.model", b.Model, "differs from the first line's "+v.model)
	}
	if b.Stream {
		v.addFinding(n, "body.stream", "true", "streams are not possible in batches")
	}
}
