package errs

import (
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	pkgerrors "github.com/pkg/errors"
)

// Code names one kind of failure. Codes are part of the public API.
type Code string

// Codes of failures. An error with StoreUnavailable had no effect on the store; a
// write that failed with StoreAmbiguous may have taken or may still take effect.
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
	Quarantined         Code = "quarantined"
	QuotaExceeded       Code = "quota_exceeded"
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

// Values of Ran. RanUnset means that the error does not concern a request that
// runs on a target.
const (
	RanUnset   Ran = ""
	RanNo      Ran = "not_run"
	RanYes     Ran = "ran"
	RanUnknown Ran = "unknown"
)

// Error is a typed error. Its fields are exported so that net/rpc can transport
// it; the cause is not transported.
type Error struct {
	Code    Code          `json:"code"`
	Message string        `json:"message"`
	Ran     Ran           `json:"ran,omitempty"`
	Retry   time.Duration `json:"retry_after_ns,omitempty"` // time after which the caller should retry, 0 if not stated
	Details []string      `json:"details,omitempty"`
	cause   error
}

// New returns an error with the given code and message.
func New(code Code, message string) *Error {
	return &Error{Code: code, Message: message}
}

// Wrap returns an error with the given code and message whose cause is err.
func Wrap(err error, code Code, message string) *Error {
	return &Error{Code: code, Message: message, cause: pkgerrors.WithStack(err)}
}

// NotRun returns an error for a request that certainly did not run on a target.
func NotRun(code Code, message string) *Error {
	return &Error{Code: code, Message: message, Ran: RanNo}
}

// WithRan returns a copy of e with Ran set to ran.
func (e *Error) WithRan(ran Ran) *Error {
	c := *e
	c.Ran = ran
	return &c
}

// WithRetry returns a copy of e that advises the caller to retry after d.
func (e *Error) WithRetry(d time.Duration) *Error {
	c := *e
	c.Retry = d
	return &c
}

// WithDetails returns a copy of e with details appended.
func (e *Error) WithDetails(details ...string) *Error {
	c := *e
	c.Details = append(append([]string(nil), e.Details...), details...)
	return &c
}

// Error returns the code, the message and the cause, if any.
func (e *Error) Error() string {
	text := string(e.Code) + ": " + e.Message
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// maxQuotedBytes is the length from which Abbreviate cuts the text of an error.
const maxQuotedBytes = 512

// Abbreviate returns err, or the beginning of its text, without its cause, if that is long. Parsers
// quote what they can't read, which may be a whole message of a peer.
func Abbreviate(err error) error {
	text := err.Error()
	if len(text) <= maxQuotedBytes {
		return err
	}
	return errors.New(strings.Clone(text[:maxQuotedBytes]) + "...")
}

// As returns the first typed error in the chain of err, or nil if err is nil. An
// error without one is wrapped with the code Internal.
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

// FromPanic returns the error for a recovered panic. Its details hold the stack of the
// goroutine, which must be the one that panicked.
func FromPanic(cause any) *Error {
	return New(Internal, fmt.Sprintf("panic: %v", cause)).WithRan(RanUnknown).WithDetails(string(debug.Stack()))
}

// Is reports whether the first typed error in the chain of err has the given
// code.
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
	QuotaExceeded:       http.StatusTooManyRequests,
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

// HTTPStatus returns the HTTP status for a code, or 500 if the code has none of
// its own.
func HTTPStatus(code Code) int {
	if status, ok := httpStatus[code]; ok {
		return status
	}
	return http.StatusInternalServerError
}
