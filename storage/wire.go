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

// Codes in the body of an error response. A 404 or 409 without the code comes
// from something other than the platform, such as a proxy or a wrong base URL,
// and says nothing about a row.
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

// ScanBody answers a scan.
type ScanBody struct {
	Rows []Row `json:"rows"`
}

// CommitBody answers a commit.
type CommitBody struct {
	Versions []uint64 `json:"versions"`
}

// ObjectsBody answers a listing of objects.
type ObjectsBody struct {
	Objects []ObjectInfo `json:"objects"`
}

// InstancesBody answers a request for the instance list.
type InstancesBody struct {
	Revision  uint64     `json:"revision"`
	Unchanged bool       `json:"unchanged,omitempty"` // the revision equals since; no instances follow
	Instances []Instance `json:"instances"`
}
