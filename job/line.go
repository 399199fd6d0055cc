package job

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/magnoliausher/magnoliausher/finding"
)

// Batch endpoints of engines.
const (
	EndpointChat        = "/v1/chat/completions"
	EndpointCompletions = "/v1/completions"
	servicesPath        = "/services/"
)

// maxCustomID bounds a caller's id of an item, in bytes.
const maxCustomID = 512

// line is one line of an input file.
type line struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// ParseEndpoint splits a batch endpoint. For engines service is empty and path
// is the endpoint.
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

// validator checks the lines of one file. Its memory is 16 bytes per item for
// the check of unique ids, and at most maxFindings findings.
type validator struct {
	file     string
	seen     map[[16]byte]struct{}
	findings finding.List
	dropped  int // findings above maxFindings
	endpoint string
	model    string
	items    int
}

// maxFindings bounds the list that an answer carries.
const maxFindings = 10_000

func (v *validator) add(line int, key, value, reason string) {
	if len(v.findings) >= maxFindings {
		v.dropped++
		return
	}
	if len(value) > 100 {
		value = value[:100] + "..."
	}
	v.findings.Add(finding.Finding{File: v.file, Line: line, Key: key, Value: value, Reason: reason})
}

// check validates one line; n counts from 1.
func (v *validator) check(n int, raw []byte) {
	v.items++
	if v.items > MaxItems {
		if v.items == MaxItems+1 {
			v.add(n, "", "", "more than 200,000 items")
		}
		return
	}
	var l line
	if err := json.Unmarshal(raw, &l); err != nil {
		v.add(n, "", "", "not a JSON object of a batch item: "+err.Error())
		return
	}
	v.checkID(n, l.CustomID)
	service := v.checkURL(n, l.URL)
	v.checkMethod(n, l.Method, service)
	v.checkBody(n, l.Body, service)
}

func (v *validator) checkID(n int, id string) {
	switch {
	case id == "":
		v.add(n, "custom_id", "", "missing")
		return
	case len(id) > maxCustomID:
		v.add(n, "custom_id", id, "longer than 512 bytes")
		return
	}
	k := shortDigest(id)
	if _, twice := v.seen[k]; twice {
		v.add(n, "custom_id", id, "used by an earlier line")
	}
	v.seen[k] = struct{}{}
}

func (v *validator) checkURL(n int, url string) (service string) {
	service, _, ok := ParseEndpoint(url)
	switch {
	case url == "":
		v.add(n, "url", "", "missing")
	case !ok:
		v.add(n, "url", url, "not an endpoint for batches")
	case v.endpoint == "":
		v.endpoint = url
	case v.endpoint != url:
		v.add(n, "url", url, "differs from the first line's "+v.endpoint)
	}
	return service
}

func (v *validator) checkMethod(n int, method, service string) {
	switch method {
	case "":
		v.add(n, "method", "", "missing")
	case http.MethodPost:
	case http.MethodGet, http.MethodPut, http.MethodPatch, http.MethodDelete:
		if service == "" {
			v.add(n, "method", method, "must be POST")
		}
	default:
		v.add(n, "method", method, "not a method for batches")
	}
}

func (v *validator) checkBody(n int, body json.RawMessage, service string) {
	if service != "" {
		return // a plain service takes any JSON value or none
	}
	var b struct {
		Model  string `json:"model"`
		Stream bool   `json:"stream"`
	}
	if len(body) == 0 {
		v.add(n, "body", "", "missing")
		return
	}
	if err := json.Unmarshal(body, &b); err != nil {
		v.add(n, "body", "", "not a JSON object of a request: "+err.Error())
		return
	}
	switch {
	case b.Model == "":
		v.add(n, "body.model", "", "missing")
	case v.model == "":
		v.model = b.Model
	case v.model != b.Model:
		v.add(n, "body.model", b.Model, "differs from the first line's "+v.model)
	}
	if b.Stream {
		v.add(n, "body.stream", "true", "streams are not possible in batches")
	}
}
