package httpstore

import (
	"encoding/json"
	"errors"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/errs"
)

// response is the outcome of one HTTP exchange: a status and a body, or an error.
type response struct {
	status int
	body   []byte
	err    error
}

// decode unmarshals a successful response into result and returns the error of any
// other response.
func (r response) decode(isWrite bool, result any) error {
	if r.err != nil {
		return transportError(isWrite, r.err)
	}
	if r.status == fasthttp.StatusOK {
		if err := json.Unmarshal(r.body, result); err != nil {
			return unansweredError(isWrite, err)
		}
		return nil
	}
	var apiError errs.Error
	if err := json.Unmarshal(r.body, &apiError); err != nil || !hasNoEffect(apiError.Code) {
		return unansweredError(isWrite, errs.New(errs.InvalidMessage, "the platform sent an unexpected response"))
	}
	return &apiError
}

// hasNoEffect reports whether an error response with this code means that the call
// had no effect. After any other error response, a write may have taken effect.
func hasNoEffect(code errs.Code) bool {
	switch code {
	case errs.Conflict, errs.NotFound, errs.TooLarge, errs.StoreUnavailable, errs.StoreStale, errs.InvalidRequest:
		return true
	}
	return false
}

// transportError classifies an error of the HTTP client: if no connection was
// available, or a write was not sent on a kept one, the call certainly had no effect.
func transportError(isWrite bool, err error) error {
	var dialErr dialError
	if errors.As(err, &dialErr) || errors.Is(err, fasthttp.ErrNoFreeConns) || isWrite && errs.Is(err, errs.TargetUnavailable) {
		return errs.Wrap(err, errs.StoreUnavailable, "no connection to the platform")
	}
	return unansweredError(isWrite, err)
}

// unansweredError returns the error of a call that may have reached the platform
// but got no usable response.
func unansweredError(isWrite bool, err error) error {
	if isWrite {
		return errs.Wrap(err, errs.StoreAmbiguous, "the write got no usable response and may have taken effect")
	}
	return errs.Wrap(errors.Join(errNoResponse, err), errs.StoreUnavailable, "the read got no usable response from the platform")
}

// otherCallError returns the error of a call that got the answer to another one. Answers bear
// no ID, so those that follow on the same connections may be of other calls, too.
func otherCallError(client *fasthttp.HostClient, isWrite bool) error {
	client.CloseIdleConnections()
	return unansweredError(isWrite, errs.New(errs.WrongAnswer, "the platform answered another call"))
}
