package httpstore

import (
	"encoding/json"
	"errors"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/errs"
)

// response is what one exchange gave.
type response struct {
	status int
	body   []byte
	err    error
}

// decode turns a response into a result or a typed error.
func (r response) decode(write bool, result any) error {
	if r.err != nil {
		return transportError(write, r.err)
	}
	if r.status == fasthttp.StatusOK {
		if err := json.Unmarshal(r.body, result); err != nil {
			return lost(write, err)
		}
		return nil
	}
	var refused errs.Error
	if err := json.Unmarshal(r.body, &refused); err != nil || !knownRefusal(refused.Code) {
		return lost(write, errs.New(errs.InvalidMessage, "unexpected response from the platform"))
	}
	return &refused
}

// knownRefusal reports whether the code says that the call had no effect. Any
// other answer to a write leaves its effect open.
func knownRefusal(code errs.Code) bool {
	switch code {
	case errs.Conflict, errs.NotFound, errs.TooLarge, errs.StoreUnavailable, errs.StoreStale, errs.InvalidRequest:
		return true
	}
	return false
}

func transportError(write bool, err error) error {
	var dial dialError
	if errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return errs.Wrap(err, errs.StoreUnavailable, "no connection to the platform")
	}
	return lost(write, err)
}

// lost is the error of a call that may have reached the platform.
func lost(write bool, err error) error {
	if write {
		return errs.Wrap(err, errs.StoreAmbiguous, "the response to the write was lost")
	}
	return errs.Wrap(errors.Join(errSilent, err), errs.StoreUnavailable, "the platform did not answer")
}
