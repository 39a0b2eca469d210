package upstream

import (
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"syscall"

	"lemongate/internal/admission"
)

// maxBodyBytes bounds the body of a response.
const maxBodyBytes = 64 << 10

var (
	errResponseTooLong  = errors.New("response body too long")
	errResponseUnframed = errors.New("response has no length, or is not a final HTTP/1 response")
)

// receive reads the response to an attempt, whose header was received, and returns the outcome.
func (c *Client) receive(a *attempt, body *requestBody, response *http.Response) outcome {
	// A response that was received before a byte of the request was written belongs to another attempt. Its
	// connection is already closed, but http.Transport may return a buffered response before it notices that.
	if conn := a.currentConn(); conn != nil && !a.writeStarted() {
		closeUnrequested(conn, response)
		return outcome{result: admission.ConnectFailed}
	}
	if !isFramed(response) {
		result := resultWithoutResponse(a, body) // before Body.Close, which would read further
		_ = response.Body.Close()                // the connection is already closed
		return outcome{result: result}
	}
	defer func() { _ = response.Body.Close() }() // the body was read to its end, or the connection is closed
	report := parseLoadReport(response.Header["X-Load-Report"], c.options.LoadReportFields)
	data, err := readBody(response)
	switch {
	case err != nil:
		return outcome{result: resultWithoutResponse(a, body), report: report}
	case response.StatusCode == http.StatusOK:
		served := &Response{ContentType: response.Header.Get("Content-Type"), Body: data}
		return outcome{result: admission.Succeeded, report: report, response: served}
	case isRejection(response):
		return outcome{result: admission.Rejected, report: report}
	}
	return outcome{result: admission.Errored, report: report}
}

// closeUnrequested closes a connection on which a response was received before a request was sent.
func closeUnrequested(conn *backendConn, response *http.Response) {
	_ = conn.Close()
	_ = response.Body.Close() // the connection is already closed
}

// isFramed reports whether a response states where it ends. A response that ends with its connection cannot be
// distinguished from a truncated one, and 101 is not a response to a request.
func isFramed(response *http.Response) bool {
	chunked := len(response.TransferEncoding) == 1 && response.TransferEncoding[0] == "chunked"
	return response.ProtoMajor == 1 && response.StatusCode >= 200 && (response.ContentLength >= 0 || chunked)
}

// isRejection reports whether a backend rejected a request without running it.
func isRejection(response *http.Response) bool {
	status := response.StatusCode
	return (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) &&
		response.Header.Get("X-Rejected") == "1"
}

// localErrors are the errors of connect that this machine causes, whatever the backend is like.
var localErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.EPERM,
}

// resultWithoutConn returns the result of an attempt that got no connection. An error of this machine (NotSent) is no evidence
// against a backend; a connect timeout or an error of the network (ConnectFailed) is weaker evidence than a refused connect
// (Unreachable).
func resultWithoutConn(err error) admission.Result {
	isCause := func(cause error) bool { return errors.Is(err, cause) }
	var netErr net.Error
	switch {
	case slices.ContainsFunc(localErrors, isCause):
		return admission.NotSent
	case errors.As(err, &netErr) && netErr.Timeout(), errors.Is(err, syscall.ENETUNREACH), errors.Is(err, syscall.EHOSTUNREACH):
		return admission.ConnectFailed
	}
	return admission.Unreachable
}

// resultWithoutResponse returns the result of an attempt that has a connection and no complete response. The attempt
// never ran if the last byte of its request was not written (ConnectFailed), and may have run otherwise
// (ConnectionLost). No byte of the attempt is written after resultWithoutResponse has returned.
func resultWithoutResponse(a *attempt, body *requestBody) admission.Result {
	conn := a.currentConn()
	conn.abort(a)
	_, complete := conn.progress(a)
	if complete && body.fullyRead.Load() {
		return admission.ConnectionLost
	}
	return admission.ConnectFailed
}

// readBody reads the body of a response to its end, so that http.Transport can reuse the connection.
func readBody(response *http.Response) ([]byte, error) {
	length := response.ContentLength
	if length > maxBodyBytes {
		return nil, errResponseTooLong
	}
	if length < 0 {
		return readChunkedBody(response.Body)
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(response.Body, body); err != nil {
		return nil, err
	}
	_, err := io.Copy(io.Discard, response.Body)
	return body, err
}

func readChunkedBody(chunks io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(chunks, maxBodyBytes+1))
	if err == nil && len(body) > maxBodyBytes {
		err = errResponseTooLong
	}
	return body, err
}
