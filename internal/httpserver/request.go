package httpserver

import (
	"errors"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/core"
	"lemongate/internal/upstream"
)

// This file validates requests. A request that a backend or admission control cannot use is answered here: answering it
// later would cost more, and later code might interpret it as a different request.

const (
	// maxBodyBytes is the maximum length of a request body.
	maxBodyBytes = 64 << 10
	// initialBodyBuffer is the size of the buffer for a body before the first byte of it is received.
	initialBodyBuffer = 1 << 10
	// bodyBytesPerSecond is the minimum rate at which a client has to send a body.
	bodyBytesPerSecond = 64 << 10
	// bodyTimeoutSlack is added to the length of a body divided by bodyBytesPerSecond. The sum is the timeout for the
	// body, from the end of the head.
	bodyTimeoutSlack = time.Second
	// malformedTimeout is the time for which a malformed request with a body is read, from its first byte or the
	// connect. It is less than malformedResponseTime, so that the connection is closed in time.
	malformedTimeout = malformedResponseTime - 500*time.Millisecond
	// deadlineSlack is the amount by which a budget may exceed the deadline of its class, as clients may round it.
	deadlineSlack = 50 * time.Millisecond
)

// A requestFault describes why a request is malformed, and how it is answered. Such a request never causes an attempt.
type requestFault struct {
	cause      core.MalformedCause
	status     int
	text       string
	closesConn bool // the connection is closed, because the start of the next request is not known
	isOverload bool // the request was rejected for lack of memory, and may be sent again
}

// Faults of requests, in the order in which they are checked. core.BadID is the cause for X-Call-Id and Idempotency-Key.
var (
	faultEncoding     = &requestFault{cause: core.BadFraming, status: http.StatusLengthRequired, text: "Content-Length wanted, and nothing beside it", closesConn: true}
	faultHeadTooLarge = &requestFault{cause: core.BadFraming, status: http.StatusRequestHeaderFieldsTooLarge, text: "head too long, or too many fields", closesConn: true}
	faultVersion      = &requestFault{cause: core.BadFraming, status: http.StatusHTTPVersionNotSupported, text: "HTTP/1.1 wanted", closesConn: true}
	faultBodyTooLong  = &requestFault{cause: core.BadFraming, status: http.StatusRequestEntityTooLarge, text: "body too long", closesConn: true}
	faultTarget       = &requestFault{cause: core.BadTarget, status: http.StatusNotFound, text: "no such class or customer"}
	faultMethod       = &requestFault{cause: core.BadMethod, status: http.StatusMethodNotAllowed, text: "the class has another method"}
	faultCallID       = &requestFault{cause: core.BadID, status: http.StatusBadRequest, text: "bad X-Call-Id"}
	faultKey          = &requestFault{cause: core.BadID, status: http.StatusBadRequest, text: "bad Idempotency-Key"}
	faultPlan         = &requestFault{cause: core.BadPlan, status: http.StatusBadRequest, text: "unknown plan"}
	faultBudget       = &requestFault{cause: core.BadBudget, status: http.StatusBadRequest, text: "bad X-Budget"}
	faultQuota        = &requestFault{cause: core.BadQuota, status: http.StatusBadRequest, text: "bad Quota-Info"}
	faultBodyTimeout  = &requestFault{cause: core.BadFraming, status: http.StatusRequestTimeout, text: "body did not come", closesConn: true}
	faultOutOfMemory  = &requestFault{status: http.StatusServiceUnavailable, text: "overloaded, try again later", closesConn: true, isOverload: true}
	faultBodyCutOff   = &requestFault{cause: core.BadFraming, status: http.StatusBadRequest, text: "body broken off", closesConn: true}
)

// readRequest validates a request, reads its body, and returns it as an event, or its fault if it is malformed.
func (s *Server) readRequest(r *http.Request) (*core.RequestReceived, *requestFault) {
	if fault := connOf(r).fault(); fault != nil {
		return nil, fault
	}
	if fault := checkFraming(r); fault != nil {
		return nil, fault
	}
	class, customer, fault := s.readTarget(r)
	if fault != nil {
		return nil, fault
	}
	fields, fault := s.readFields(r, class)
	if fault != nil {
		return nil, fault
	}
	body, fault := s.readBody(r)
	if fault != nil {
		return nil, fault
	}
	return &core.RequestReceived{
		ReceivedAt: s.options.Now(),
		CallID:     fields.callID,
		Request: admission.Request{
			ID:           core.RequestID(s.lastID.Add(1)),
			Class:        class.Name,
			Plan:         fields.plan,
			Customer:     customer,
			Units:        fields.quotaInfo.units,
			Budget:       min(fields.budget, class.Deadline),
			FirstLimiter: fields.quotaInfo.firstLimiter,
			SetSize:      fields.quotaInfo.setSize,
			IsRetry:      r.Header.Get("X-Again") == "1",
		},
		Content: &upstream.Request{
			Method:         r.Method,
			URI:            r.RequestURI,
			Host:           r.Host,
			CallID:         fields.callID,
			IdempotencyKey: fields.key,
			ContentType:    r.Header.Get("Content-Type"),
			Body:           body,
			ClientWaits:    connOf(r).clientWaits,
		},
	}, nil
}

// checkFraming returns a fault for requests whose end is ambiguous, because their bodies may hide another request.
// net/http accepts a chunked body and silently drops a Content-Length beside it, and under HTTP/1.0 it drops
// Transfer-Encoding. Clients send a Content-Length, so chunked bodies are not accepted.
func checkFraming(r *http.Request) *requestFault {
	switch {
	case len(r.TransferEncoding) > 0:
		return faultEncoding
	case !r.ProtoAtLeast(1, 1):
		return faultVersion
	case r.ContentLength > maxBodyBytes:
		return faultBodyTooLong
	}
	return nil
}

// readTarget returns the class and the customer that the path of a request names.
func (s *Server) readTarget(r *http.Request) (*admission.Class, string, *requestFault) {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	name, customer, ok := splitPath(path)
	class := s.classes[name]
	if class == nil { // characters of the class name may be escaped in the path
		name, _ = url.PathUnescape(name) // empty after an error, and no class has an empty name
		class = s.classes[name]
	}
	if !ok || class == nil {
		return nil, "", faultTarget
	}
	return class, customer, nil
}

// requestFields are the values of a request's header fields.
type requestFields struct {
	callID    string
	key       string // idempotency key, empty for none
	plan      string
	budget    time.Duration
	quotaInfo quotaInfo
}

// readFields returns the header values of a request of the given class.
func (s *Server) readFields(r *http.Request, class *admission.Class) (fields requestFields, fault *requestFault) {
	if !methodAllowed(r, class) {
		return fields, faultMethod
	}
	var ok bool
	if fields.callID, ok = singleWord(r.Header, "X-Call-Id"); !ok {
		return fields, faultCallID
	}
	if fields.key, ok = readKey(r.Header, class); !ok {
		return fields, faultKey
	}
	if fields.plan, ok = s.readPlan(r.Header); !ok {
		return fields, faultPlan
	}
	if fields.budget, ok = readBudget(r.Header, class); !ok {
		return fields, faultBudget
	}
	if fields.quotaInfo, ok = s.readQuotaInfo(r.Header); !ok {
		return fields, faultQuota
	}
	return fields, nil
}

// methodAllowed reports whether a request has the method of its class: GET without a body for idempotent classes, POST
// for other classes.
func methodAllowed(r *http.Request, class *admission.Class) bool {
	if class.Idempotency == admission.Idempotent {
		return r.Method == http.MethodGet && r.ContentLength == 0
	}
	return r.Method == http.MethodPost
}

// readKey returns the idempotency key, which is required for classes that are idempotent by key.
func readKey(header http.Header, class *admission.Class) (key string, ok bool) {
	key, isWord := singleWord(header, "Idempotency-Key")
	required := class.Idempotency == admission.IdempotentByKey
	return key, (isWord || !required) && len(header["Idempotency-Key"]) <= 1
}

// readPlan returns the plan, whose name may contain any characters.
func (s *Server) readPlan(header http.Header) (plan string, ok bool) {
	values := header["Plan"]
	if len(values) != 1 {
		return "", false
	}
	return values[0], s.plans[values[0]]
}

func readBudget(header http.Header, class *admission.Class) (budget time.Duration, ok bool) {
	text, ok := singleWord(header, "X-Budget")
	if !ok {
		return 0, false
	}
	budget, ok = parseBudget(text)
	return budget, ok && budget <= class.Deadline+deadlineSlack
}

// readQuotaInfo returns the units of a request and the customer's limiter set.
func (s *Server) readQuotaInfo(header http.Header) (info quotaInfo, ok bool) {
	text, ok := singleWord(header, "Quota-Info")
	if !ok {
		return quotaInfo{}, false
	}
	info, ok = parseQuotaInfo(text)
	limiters := max(s.options.Settings.Limiters, 1)
	inTier := info.firstLimiter < limiters && info.setSize <= limiters
	unitsAllowed := s.options.MaxUnits <= 0 || info.units <= s.options.MaxUnits
	return info, ok && inTier && unitsAllowed
}

// readBody reads the complete body, whose length is known and within maxBodyBytes. It allocates memory as the body is
// received, not by the announced length.
func (s *Server) readBody(r *http.Request) ([]byte, *requestFault) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	conn := connOf(r)
	// The timeout is proportional to the length: a slow client may take seconds for a long body, and a short body
	// that is cut off is detected soon.
	seconds := float64(r.ContentLength) / bodyBytesPerSecond
	timeout := bodyTimeoutSlack + time.Duration(seconds*float64(time.Second))
	_ = conn.SetReadDeadline(s.options.WallClock().Add(timeout)) // fails only on a closed connection
	body, err := readAll(r.Body, int(r.ContentLength))
	if fault := conn.fault(); fault != nil {
		return nil, fault
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, faultBodyTimeout
	}
	if err != nil {
		return nil, faultBodyCutOff
	}
	// net/http continues to read, to detect that the client disconnects. After an error the deadline stays set:
	// without it net/http would wait for the rest of the body before it responds.
	_ = conn.SetReadDeadline(time.Time{})
	return body, nil
}

// readAll reads a body of a length that is not 0. Its buffer grows with what is received, and not beyond that length.
func readAll(body io.Reader, length int) ([]byte, error) {
	buffer := make([]byte, 0, min(length, initialBodyBuffer))
	for {
		if len(buffer) == cap(buffer) && len(buffer) < length {
			larger := make([]byte, len(buffer), min(2*cap(buffer), length))
			copy(larger, buffer)
			buffer = larger
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
