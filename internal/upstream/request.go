package upstream

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"lemongate/internal/core"
)

// A requestBody is the body of a request for one round trip of http.Transport. Once it was read to its end, the
// last byte of the request may be on the socket, unless a write failed. The callback WroteRequest cannot tell that:
// it may be called after the response was received, and the callback of a round trip that has ended may be called
// during the next one.
type requestBody struct {
	bytes.Reader
	fullyRead atomic.Bool
}

func newRequestBody(data []byte) *requestBody {
	b := new(requestBody)
	b.Reset(data)
	b.fullyRead.Store(len(data) == 0) // without data, the header is the whole request
	return b
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if b.Len() == 0 {
		b.fullyRead.Store(true)
	}
	return n, err
}

// Close implements io.Closer.
func (b *requestBody) Close() error { return nil }

// newRequest returns the HTTP request of an attempt that ends after the remaining time. Its Body is never nil and it has no GetBody. Otherwise
// http.Transport would by itself retry a GET, or any request with an Idempotency-Key, when a reused connection turns
// out to be closed.
func newRequest(ctx context.Context, body *requestBody, content *Request, e core.StartAttempt, remaining time.Duration) *http.Request {
	r := &http.Request{
		Method: content.Method, Host: content.Host, Header: requestHeader(content, e, remaining),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL:           &url.URL{Scheme: "http", Host: e.Addr, Opaque: content.URI}, // Opaque is sent unchanged
		Body:          body,
		ContentLength: int64(len(content.Body)),
	}
	if len(content.Body) == 0 {
		// Send no framing. http.Transport treats a Body with ContentLength 0 as one of unknown length: it would
		// read ahead with a goroutine and a timer, or send the body chunked.
		r.TransferEncoding = []string{"identity"}
	}
	return r.WithContext(ctx)
}

func requestHeader(content *Request, e core.StartAttempt, remaining time.Duration) http.Header {
	header := http.Header{
		"X-Call-Id":  {content.CallID},
		"X-Budget":   {strconv.FormatInt(max(remaining.Milliseconds(), 1), 10) + "m"},
		"User-Agent": nil, // suppresses Go's default
	}
	if e.Token > 0 {
		header["X-Lease-Token"] = []string{strconv.FormatUint(e.Token, 10)}
	}
	if content.IdempotencyKey != "" {
		header["Idempotency-Key"] = []string{content.IdempotencyKey}
	}
	if content.ContentType != "" {
		header["Content-Type"] = []string{content.ContentType}
	}
	return header
}
