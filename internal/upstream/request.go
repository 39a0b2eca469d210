package upstream

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"

	"lemongate/internal/core"
)

// A requestBody is the body of a request in one try, as http.Transport reads it. Once nothing of it is
// left, the last byte of the request may be on the socket, unless a write failed. http.Transport reports
// that later, when the response may have come already; and that of a try which is over, during the next.
type requestBody struct {
	bytes.Reader
	spent atomic.Bool // nothing is left to be read
}

func newRequestBody(content []byte) *requestBody {
	b := new(requestBody)
	b.Reset(content)
	b.spent.Store(len(content) == 0) // the head is all there is
	return b
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if b.Len() == 0 {
		b.spent.Store(true)
	}
	return n, err
}

// Close implements io.Closer.
func (b *requestBody) Close() error { return nil }

// newRequest returns the HTTP request of an attempt. Its Body is never nil and it has no GetBody:
// otherwise http.Transport would repeat a GET, or anything with Idempotency-Key, by itself when a kept
// connection turns out to be closed.
func newRequest(ctx context.Context, body *requestBody, content *Request, e core.StartAttempt) *http.Request {
	r := &http.Request{
		Method: content.Method, Host: content.Host, Header: requestHeader(content, e),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL:           &url.URL{Scheme: "http", Host: e.Addr, Opaque: content.URI}, // Opaque is sent as it is
		Body:          body,
		ContentLength: int64(len(content.Body)),
	}
	if len(content.Body) == 0 {
		// No framing: http.Transport takes a Body of length 0 for one of unknown length, and would look
		// into it with a goroutine and a timer or send it chunked.
		r.TransferEncoding = []string{"identity"}
	}
	return r.WithContext(ctx)
}

func requestHeader(content *Request, e core.StartAttempt) http.Header {
	header := http.Header{
		"X-Call-Id":  {content.CallID},
		"X-Budget":   {strconv.FormatInt(max(e.Timeout.Milliseconds(), 1), 10) + "m"},
		"User-Agent": nil, // none, rather than Go's own
	}
	if e.Token > 0 {
		header["X-Lease-Token"] = []string{strconv.FormatUint(e.Token, 10)}
	}
	if content.Key != "" {
		header["Idempotency-Key"] = []string{content.Key}
	}
	if content.Type != "" {
		header["Content-Type"] = []string{content.Type}
	}
	return header
}
