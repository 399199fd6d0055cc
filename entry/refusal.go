package entry

import (
	"net/http"
	"time"

	"github.com/magnoliausher/magnoliausher/apierror"
	"github.com/magnoliausher/magnoliausher/attempt"
	"github.com/magnoliausher/magnoliausher/limit"
)

// Error codes, used in the error body and as the reason label of the counter.
// docs/operators/online.md explains each.
const (
	codeDraining             = "draining"
	codeNotReady             = "not_ready"
	codeMissingKey           = "missing_api_key"
	codeUnknownKey           = "invalid_api_key"
	codeClassNotAllowed      = "class_not_allowed"
	codeMalformedJSON        = "malformed_json"
	codeInvalidRequest       = "invalid_request"
	codeUnsupportedParameter = "unsupported_parameter"
	codeUnknownModel         = "model_not_found"
	codeUnknownService       = "service_not_found"
	codeUnknownPath          = "path_not_found"
	codeBodyTooLarge         = "body_too_large"
	codeBodyRead             = "body_read_failed"
	codeBodyTooSlow          = "body_too_slow"
	codeNoMemory             = "no_memory_for_body"
	codeMethodNotAllowed     = "method_not_allowed"
	codeInvalidHeader        = "invalid_header"
	codeDeadlineExceeded     = "deadline_exceeded"
	codeNoUpstream           = "no_upstream"
	codeUpstreamRefused      = "upstream_refused"
	codeRetryBudget          = "retry_budget"
	codeBlockedPart          = "blocked_part"
	codeBlocked              = "blocked_suspect"
	codeUpstreamFailed       = "upstream_failed"
	codeUpstreamError        = "upstream_error"
	codeAnswerTooLarge       = "answer_too_large"
	codeCallerGone           = "caller_gone"
	codeKeyInProgress        = "idempotency_in_progress"
	codeKeyUnknown           = "idempotency_unknown"
	codeKeyMismatch          = "idempotency_mismatch"
	codeKeyUnavailable       = "idempotency_unavailable"
	codeOutcomeUnknown       = "outcome_unknown"
)

// Error types of the OpenAI API.
const (
	typeInvalid     = "invalid_request_error"
	typeAuth        = "authentication_error"
	typePermission  = "permission_error"
	typeNotFound    = "not_found_error"
	typeRateLimit   = "rate_limit_error"
	typeTimeout     = "timeout_error"
	typeUnavailable = "service_unavailable"
	typeServer      = "server_error"
	typeConflict    = "conflict_error"
)

// refusal returns the error of a request that was not executed.
func refusal(status int, kind, code, message string) *apierror.Error {
	return &apierror.Error{
		Status: status, Type: kind, Code: code, Message: message, Executed: attempt.ExecutedNo,
	}
}

func badRequest(code, param, message string) *apierror.Error {
	err := refusal(http.StatusBadRequest, typeInvalid, code, message)
	err.Param = param
	return err
}

func unavailable(code, message string, retryAfter time.Duration) *apierror.Error {
	err := refusal(http.StatusServiceUnavailable, typeUnavailable, code, message)
	err.RetryAfter = retryAfter
	return err
}

// limitMessages holds the message to the caller for each reason of package limit.
var limitMessages = map[limit.Reason]string{
	limit.RateLimited:       "The caller's request rate is above its limit.",
	limit.CallerConcurrency: "The caller has as many requests in progress as it may.",
	limit.QueueFull:         "The queue of the service is full.",
	limit.QueueDeadline:     "The request cannot start before its deadline.",
	limit.Displaced:         "The request gave its place in the full queue to a caller with fewer waiting requests.",
	limit.Cancelled:         "The caller closed the request while it was queued.",
}

// limitRefusal converts a reason of package limit into an error.
func limitRefusal(r limit.Reason, retryAfter time.Duration) *apierror.Error {
	status, kind := http.StatusTooManyRequests, typeRateLimit
	switch r {
	case limit.QueueFull, limit.Displaced:
		status, kind = http.StatusServiceUnavailable, typeUnavailable
	case limit.QueueDeadline:
		status, kind = http.StatusGatewayTimeout, typeTimeout
	}
	err := refusal(status, kind, string(r), limitMessages[r])
	err.RetryAfter = retryAfter
	return err
}

func deadlineError(executed attempt.Executed) *apierror.Error {
	err := refusal(http.StatusGatewayTimeout, typeTimeout, codeDeadlineExceeded, "The deadline passed before the answer was complete.")
	err.Executed = executed
	return err
}
