package upstream

import (
	"bytes"
	"strconv"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/httpfields"
)

// maxHeadFields is the largest number of header fields of a response. However short, each takes
// some 200 bytes in the lists of the response and of the one to the caller.
const maxHeadFields = 256

var headEnd = []byte("\r\n\r\n")

// checkHead rejects a head, with the interim answers before it, that the parser reads in its
// own way: it ends a head at a bare line feed if a blank line follows in the body, reads
// status 000 as 200, ignores the transfer coding of HTTP/1.0, and white space before a colon. It
// also rejects a head with too many fields.
func checkHead(head []byte, parsed *fasthttp.ResponseHeader) error {
	before, ended := bytes.CutSuffix(head, headEnd)
	final := before[bytes.LastIndex(before, headEnd)+1:]
	statusLine, fields, _ := bytes.Cut(bytes.TrimLeft(final, "\r\n"), []byte("\n"))
	switch {
	case !ended:
		return errs.New(errs.WrongAnswer, "the head of the response does not end in a blank line")
	case !hasStatus(statusLine, parsed.StatusCode()):
		return errs.New(errs.WrongAnswer, "the response has an invalid status")
	case !parsed.IsHTTP11() && bytes.Contains(bytes.ToLower(fields), []byte("transfer-encoding")):
		return errs.New(errs.WrongAnswer, "the response has a transfer coding that its HTTP version does not know")
	case bytes.Count(fields, []byte("\n")) > maxHeadFields:
		return errs.New(errs.WrongAnswer, "the response has too many header fields")
	case !validNames(fields):
		return errs.New(errs.WrongAnswer, "the name of a header field of the response is invalid")
	}
	return nil
}

// hasStatus reports whether a status line has a status. The reason phrase may contain any number.
func hasStatus(line []byte, status int) bool {
	_, rest, _ := bytes.Cut(line, []byte(" "))
	return bytes.HasPrefix(bytes.TrimLeft(rest, " "), []byte(strconv.Itoa(status)))
}

// validNames reports whether the names of all header fields are valid. Lines that begin with
// white space continue the field before them.
func validNames(fields []byte) bool {
	for line := range bytes.Lines(fields) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		if !httpfields.ValidName(name) && line[0] != ' ' && line[0] != '\t' {
			return false
		}
	}
	return true
}
