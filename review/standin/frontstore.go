//go:build review

package main

import (
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
)

// startFrontStore starts a proxy in front of the platform's store that counts the eras of the
// store from another number. It returns the address of the proxy.
func (w *world) startFrontStore(firstEra int64) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: w.store.Address()})
	proxy.ModifyResponse = func(resp *http.Response) error {
		// The stand-in of the project begins with era 1.
		if era, err := strconv.ParseInt(resp.Header.Get("Store-Era"), 10, 64); err == nil {
			resp.Header.Set("Store-Era", strconv.FormatInt(era-1+firstEra, 10))
		}
		return nil
	}
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	server := &http.Server{Handler: proxy}
	go func() { _ = server.Serve(l) }() // until the process ends
	return l.Addr().String(), nil
}
