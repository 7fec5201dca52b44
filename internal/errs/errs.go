package errs

import (
	"errors"
	"net/http"
	"time"

	pkgerrors "github.com/pkg/errors"
)

// Code names one kind of failure. Codes are part of the public API.
type Code string

// Codes of failures.
const (
	InvalidRequest      Code = "invalid_request"
	InvalidConfig       Code = "invalid_configuration"
	InvalidSettings     Code = "invalid_settings"
	InvalidMessage      Code = "invalid_message"
	Unauthenticated     Code = "unauthenticated"
	Forbidden           Code = "forbidden"
	NotFound            Code = "not_found"
	TooLarge            Code = "too_large"
	Timeout             Code = "timeout"
	Cancelled           Code = "cancelled"
	Overloaded          Code = "overloaded"
	DeadlineUnreachable Code = "deadline_unreachable"
	NoTarget            Code = "no_target"
	TargetUnavailable   Code = "target_unavailable"
	TargetRefused       Code = "target_refused"
	AdapterNotResident  Code = "adapter_not_resident"
	AdapterLoadFailed   Code = "adapter_load_failed"
	WrongAnswer         Code = "wrong_answer"
	TruncatedAnswer     Code = "truncated_answer"
	StaleEpoch          Code = "stale_epoch"
	NotOwner            Code = "not_owner"
	Draining            Code = "draining"
	NotReady            Code = "not_ready"
	StoreUnavailable    Code = "store_unavailable"
	StoreAmbiguous      Code = "store_ambiguous"
	StoreStale          Code = "store_stale"
	HistoryGone         Code = "history_gone"
	Conflict            Code = "conflict"
	InProgress          Code = "in_progress"
	KeyReused           Code = "key_reused"
	OutcomeUnknown      Code = "outcome_unknown"
	PeerUnavailable     Code = "peer_unavailable"
	Internal            Code = "internal"
)

// Ran says whether a failed request ran on a target.
type Ran string

// Values of Ran. The zero value means that the error is not about a request.
const (
	RanUnset   Ran = ""
	RanNo      Ran = "not_run"
	RanYes     Ran = "ran"
	RanUnknown Ran = "unknown"
)

// Error is a typed failure. Fields are exported so that it crosses net/rpc.
type Error struct {
	Code    Code          `json:"code"`
	Message string        `json:"message"`
	Ran     Ran           `json:"ran,omitempty"`
	Retry   time.Duration `json:"retry_after_ns,omitempty"` // 0: no advice
	Details []string      `json:"details,omitempty"`
	cause   error
}

// New returns an error with a code and a message.
func New(code Code, message string) *Error {
	return &Error{Code: code, Message: message}
}

// Wrap returns an error with a code whose cause is err.
func Wrap(err error, code Code, message string) *Error {
	return &Error{Code: code, Message: message, cause: pkgerrors.WithStack(err)}
}

// NotRun returns an error for a request that did not run.
func NotRun(code Code, message string) *Error {
	return &Error{Code: code, Message: message, Ran: RanNo}
}

// WithRan returns a copy that says whether the request ran.
func (e *Error) WithRan(ran Ran) *Error {
	c := *e
	c.Ran = ran
	return &c
}

// WithRetry returns a copy that advises the caller to retry after d.
func (e *Error) WithRetry(d time.Duration) *Error {
	c := *e
	c.Retry = d
	return &c
}

// WithDetails returns a copy with details added.
func (e *Error) WithDetails(details ...string) *Error {
	c := *e
	c.Details = append(append([]string(nil), e.Details...), details...)
	return &c
}

// Error returns the code, the message and the cause.
func (e *Error) Error() string {
	text := string(e.Code) + ": " + e.Message
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// As returns err as a typed error. An error of another type becomes Internal.
func As(err error) *Error {
	if err == nil {
		return nil
	}
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return Wrap(err, Internal, "unexpected failure")
}

// Is reports whether err is a typed error with the given code.
func Is(err error, code Code) bool {
	var typed *Error
	return errors.As(err, &typed) && typed.Code == code
}

var httpStatus = map[Code]int{
	InvalidRequest:      http.StatusBadRequest,
	InvalidConfig:       http.StatusUnprocessableEntity,
	InvalidMessage:      http.StatusBadRequest,
	Unauthenticated:     http.StatusUnauthorized,
	Forbidden:           http.StatusForbidden,
	NotFound:            http.StatusNotFound,
	TooLarge:            http.StatusRequestEntityTooLarge,
	Timeout:             http.StatusGatewayTimeout,
	Cancelled:           http.StatusRequestTimeout,
	Overloaded:          http.StatusTooManyRequests,
	DeadlineUnreachable: http.StatusServiceUnavailable,
	NoTarget:            http.StatusServiceUnavailable,
	TargetUnavailable:   http.StatusBadGateway,
	TargetRefused:       http.StatusBadGateway,
	AdapterLoadFailed:   http.StatusServiceUnavailable,
	WrongAnswer:         http.StatusBadGateway,
	TruncatedAnswer:     http.StatusBadGateway,
	AdapterNotResident:  http.StatusServiceUnavailable,
	StaleEpoch:          http.StatusServiceUnavailable,
	NotOwner:            http.StatusServiceUnavailable,
	Draining:            http.StatusServiceUnavailable,
	NotReady:            http.StatusServiceUnavailable,
	StoreUnavailable:    http.StatusServiceUnavailable,
	StoreAmbiguous:      http.StatusServiceUnavailable,
	StoreStale:          http.StatusServiceUnavailable,
	HistoryGone:         http.StatusServiceUnavailable,
	PeerUnavailable:     http.StatusServiceUnavailable,
	Conflict:            http.StatusConflict,
	InProgress:          http.StatusConflict,
	KeyReused:           http.StatusUnprocessableEntity,
	OutcomeUnknown:      http.StatusConflict,
}

// HTTPStatus returns the HTTP status code for a failure code.
func HTTPStatus(code Code) int {
	if status, ok := httpStatus[code]; ok {
		return status
	}
	return http.StatusInternalServerError
}
