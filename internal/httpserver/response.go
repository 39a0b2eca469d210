package httpserver

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"lemongate/internal/core"
	"lemongate/internal/upstream"
)

// This file writes responses. A response is complete before its first byte is sent. Write errors are ignored: the
// client has disconnected, and the connection ends. The texts are those of release 0.8.0.

func writeResponse(w http.ResponseWriter, response core.Respond) {
	switch response.Kind {
	case core.Served:
		writeServed(w, response.Response.(*upstream.Response))
	case core.Rejected:
		if response.RetryAfter > 0 {
			w.Header()["Retry-After"] = []string{formatSeconds(response.RetryAfter)}
		}
		writeText(w, http.StatusTooManyRequests, "refused, try again later")
	case core.DuplicateID:
		writeText(w, http.StatusConflict, "a req with this X-Call-Id is open")
	case core.Failed:
		writeText(w, http.StatusBadGateway, "failed, it may have run")
	}
}

// formatSeconds returns a duration as a header value in seconds.
func formatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// writeServed writes the response of a backend.
func writeServed(w http.ResponseWriter, served *upstream.Response) {
	header := w.Header()
	header["Content-Type"] = []string{served.ContentType}
	if served.ContentType == "" {
		header["Content-Type"] = nil // otherwise net/http guesses it from the body
	}
	header["Content-Length"] = []string{strconv.Itoa(len(served.Body))}
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(served.Body)
}

// writeText writes a local reply with one line of text.
func writeText(w http.ResponseWriter, status int, text string) {
	header := w.Header()
	header["Content-Type"] = []string{"text/plain; charset=utf-8"}
	header["Content-Length"] = []string{strconv.Itoa(len(text) + 1)}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text+"\n")
}
