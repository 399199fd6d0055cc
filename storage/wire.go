package storage

// Paths of the platform's HTTP interface. Keys are query parameters, because
// they contain slashes.
const (
	PathRow       = "/v1/table/row"    // GET key
	PathScan      = "/v1/table/scan"   // GET prefix, after, limit
	PathCommit    = "/v1/table/commit" // POST Transaction
	PathObject    = "/v1/object"       // GET, PUT, DELETE key
	PathObjects   = "/v1/objects"      // GET prefix, after, limit
	PathInstances = "/v1/instances"    // GET since
)

// Query parameters of the platform's HTTP interface.
const (
	ParamKey    = "key"
	ParamPrefix = "prefix"
	ParamAfter  = "after"
	ParamLimit  = "limit"
	ParamSince  = "since"
)

// Codes in the body of an error response. A 404 or 409 without its code does not
// come from the platform but from a proxy or a wrong base URL, for example, and
// says nothing about the row.
const (
	CodeNotFound    = "not_found"
	CodeConflict    = "condition_failed"
	CodeThrottled   = "throttled"
	CodeUnavailable = "unavailable"
	CodeInvalid     = "invalid_request"
)

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Code    string `json:"code"`
	Message string `json:"message,omitempty"`
}

// ScanBody is the response to a scan.
type ScanBody struct {
	Rows []Row `json:"rows"`
}

// CommitBody is the response to a commit.
type CommitBody struct {
	Versions []uint64 `json:"versions"`
}

// ObjectsBody is the response to a listing of objects.
type ObjectsBody struct {
	Objects []ObjectInfo `json:"objects"`
}

// InstancesBody is the response to a request for the instance list.
type InstancesBody struct {
	Revision  uint64     `json:"revision"`
	Unchanged bool       `json:"unchanged,omitempty"` // the revision equals since; Instances is empty
	Instances []Instance `json:"instances"`
}
