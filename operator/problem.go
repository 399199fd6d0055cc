package operator

import (
	"errors"
	"net/http"
	"time"

	"github.com/magnoliausher/magnoliausher/apierror"
	"github.com/magnoliausher/magnoliausher/attempt"
	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/finding"
)

// Error codes of the API.
const (
	CodeFindings       = "invalid_configuration"
	CodeConflict       = "version_conflict"
	CodeStaleSheet     = "sheet_not_newer"
	CodeOutcomeUnknown = "outcome_unknown"
	codeUnavailable    = "platform_unavailable"
	codeNotReady       = "not_ready"
	codeNoOperator     = "not_an_operator"
	codeUnknownKey     = "invalid_api_key"
	codeUnknownPath    = "path_not_found"
	codeMethod         = "method_not_allowed"
	codeParameter      = "invalid_parameter"
	codeTooLarge       = "body_too_large"
	codeBodyRead       = "body_read_failed"
	codeBodyTooSlow    = "body_too_slow"
	codeNoMemory       = "no_memory_for_body"
)

// Error types of the API.
const (
	typeInvalid        = "invalid_request_error"
	typeAuthentication = "authentication_error"
	typeNotFound       = "not_found_error"
	typePermission     = "permission_error"
	typeServer         = "server_error"
)

// retryAfter is the Retry-After delay while the platform is unavailable.
const retryAfter = 2 * time.Second

// ErrorDetails describes an acceptance that was rejected or whose outcome is unknown.
type ErrorDetails struct {
	ChangeID   string            `json:"change_id,omitempty"`
	Base       uint64            `json:"base"`
	Version    uint64            `json:"version,omitempty"`    // version in force
	Difference []contract.Change `json:"difference,omitempty"` // changes from the version in force to the rejected document
	SinceBase  []contract.Change `json:"since_base,omitempty"` // changes from the base to the version in force
}

// acceptanceError adds details for the operator to an error of the store.
type acceptanceError struct {
	cause   error
	details ErrorDetails
}

func (e *acceptanceError) Error() string { return e.cause.Error() }
func (e *acceptanceError) Unwrap() error { return e.cause }

// newError returns the error of a request that was not executed.
func newError(status int, errType, code, message string) *apierror.Error {
	return &apierror.Error{Status: status, Type: errType, Code: code, Message: message, Executed: attempt.ExecutedNo}
}

func notReadyError() *apierror.Error {
	e := newError(http.StatusServiceUnavailable, typeServer, codeNotReady, "The instance has no configuration yet.")
	e.RetryAfter = retryAfter
	return e
}

func findingsError(findings finding.List) *apierror.Error {
	e := newError(http.StatusUnprocessableEntity, typeInvalid, CodeFindings, "The configuration has findings; nothing was changed.")
	e.Findings = findings
	return e
}

// toAPIError converts an error of a handler to the API error to be sent.
func toAPIError(err error) *apierror.Error {
	var apiErr *apierror.Error
	var findings finding.List
	switch {
	case errors.As(err, &apiErr):
		copied := *apiErr
		return &copied
	case errors.As(err, &findings):
		return findingsError(findings)
	}
	return acceptanceAPIError(err)
}

func acceptanceAPIError(err error) *apierror.Error {
	var conflict *contract.ConflictError
	var stale *contract.StaleSheetError
	var openOutcome *contract.UnknownOutcomeError
	var e *apierror.Error
	switch {
	case errors.As(err, &conflict):
		e = newError(http.StatusConflict, typeInvalid, CodeConflict, conflict.Error()+"; nothing was changed")
	case errors.As(err, &stale):
		e = newError(http.StatusConflict, typeInvalid, CodeStaleSheet, stale.Error()+"; nothing was changed")
	case errors.As(err, &openOutcome):
		e = newError(http.StatusServiceUnavailable, typeServer, CodeOutcomeUnknown,
			"The platform does not answer, so it is unknown whether the change was accepted. Send it again with the same change id as Idempotency-Key and the same base.")
		e.Executed = attempt.ExecutedUnknown
		e.RetryAfter = retryAfter
	default:
		e = newError(http.StatusServiceUnavailable, typeServer, codeUnavailable, "The platform does not answer; nothing was changed.")
		e.RetryAfter = retryAfter
	}
	var acceptance *acceptanceError
	if errors.As(err, &acceptance) {
		e.Details = acceptance.details
	}
	return e
}
