package upstream_test

import (
	"testing"
)

// Guards against bytes of a target that make the process panic or block, and against a part of
// an answer that is taken for another whole one, such as a shorter one: what follows a whole
// answer does not change it.
func FuzzAnswer(f *testing.F) {
	for _, a := range answers {
		f.Add([]byte(a.text()), len(a.text())-1)
		f.Add([]byte(a.text()+a.text()), len(a.text()))
	}
	f.Add([]byte("HTTP/1.1 200 OK\nContent-Length: 2\n\nok\r\n\r\n"), 30)
	f.Add([]byte("HTTP/1.1 200 OK\r\nX: y\n\r\nContent-Length: 2\r\n\r\nok"), 23)
	f.Add([]byte("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), 60)
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551617\r\n\r\nx"), 58)
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nx"), 66)
	f.Add([]byte("HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"), 36)
	f.Fuzz(func(t *testing.T, text []byte, cut int) {
		if len(text) > 4096 {
			return
		}
		cut = max(0, min(cut, len(text)))
		whole := truncation{name: "fuzzed", sent: string(text), end: closed}
		part := truncation{name: "fuzzed", sent: string(text[:cut]), end: closed}
		partBody, partUnframed, partFailure := overPipe(part)
		if partFailure != nil || partUnframed {
			return
		}
		body, unframed, failure := overPipe(whole)
		if failure != nil || unframed || body != partBody {
			t.Fatalf("%d bytes of %q are the answer %q, all of them %q, unframed %v, failure %v", cut, text, partBody, body, unframed, failure)
		}
	})
}
