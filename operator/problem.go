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

// Codes of the API's errors.
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
)

// Types of the API's errors.
const (
	typeInvalid        = "invalid_request_error"
	typeAuthentication = "authentication_error"
	typeNotFound       = "not_found_error"
	typePermission     = "permission_error"
	typeServer         = "server_error"
)

// retryAfter is advised while the platform does not answer.
const retryAfter = 2 * time.Second

// ErrorDetails are the details of a refused or open acceptance.
type ErrorDetails struct {
	ChangeID   string            `json:"change_id,omitempty"`
	Base       uint64            `json:"base"`
	Version    uint64            `json:"version,omitempty"`    // in force
	Difference []contract.Change `json:"difference,omitempty"` // from the version in force to the refused one
	SinceBase  []contract.Change `json:"since_base,omitempty"` // from the base to the version in force
}

// acceptanceError adds to an error of the store what the operator needs.
type acceptanceError struct {
	cause   error
	details ErrorDetails
}

func (e *acceptanceError) Error() string { return e.cause.Error() }
func (e *acceptanceError) Unwrap() error { return e.cause }

func refusal(status int, kind, code, message string) *apierror.Error {
	return &apierror.Error{Status: status, Type: kind, Code: code, Message: message, Executed: attempt.ExecutedNo}
}

func notReady() *apierror.Error {
	e := refusal(http.StatusServiceUnavailable, typeServer, codeNotReady, "The instance has no configuration yet.")
	e.RetryAfter = retryAfter
	return e
}

func withFindings(findings finding.List) *apierror.Error {
	e := refusal(http.StatusUnprocessableEntity, typeInvalid, CodeFindings, "The configuration has findings; nothing was changed.")
	e.Findings = findings
	return e
}

// errorOf gives the answer to an error of a handler.
func errorOf(err error) *apierror.Error {
	var ready *apierror.Error
	var findings finding.List
	switch {
	case errors.As(err, &ready):
		copied := *ready
		return &copied
	case errors.As(err, &findings):
		return withFindings(findings)
	}
	return acceptanceErrorOf(err)
}

func acceptanceErrorOf(err error) *apierror.Error {
	var conflict *contract.ConflictError
	var stale *contract.StaleSheetError
	var open *contract.OpenOutcomeError
	var e *apierror.Error
	switch {
	case errors.As(err, &conflict):
		e = refusal(http.StatusConflict, typeInvalid, CodeConflict, conflict.Error()+"; nothing was changed")
	case errors.As(err, &stale):
		e = refusal(http.StatusConflict, typeInvalid, CodeStaleSheet, stale.Error()+"; nothing was changed")
	case errors.As(err, &open):
		e = refusal(http.StatusServiceUnavailable, typeServer, CodeOutcomeUnknown,
			"The platform does not answer, so it is unknown whether the change was accepted. Send it again with the same change id as Idempotency-Key and the same base.")
		e.Executed = attempt.ExecutedUnknown
		e.RetryAfter = retryAfter
	default:
		e = refusal(http.StatusServiceUnavailable, typeServer, codeUnavailable, "The platform does not answer; nothing was changed.")
		e.RetryAfter = retryAfter
	}
	var details *acceptanceError
	if errors.As(err, &details) {
		e.Details = details.details
	}
	return e
}
