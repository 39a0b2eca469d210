package upstream

import (
	"errors"
	"io"
	"net"
	"net/http"

	"lemongate/internal/admission"
)

// maxBodyBytes bounds the body of a response.
const maxBodyBytes = 64 << 10

var (
	errResponseTooLong  = errors.New("response too long")
	errResponseUnframed = errors.New("response does not say where it ends")
)

// receive reads the response to an attempt whose head has come, and returns the outcome.
func (c *Client) receive(a *attempt, body *requestBody, response *http.Response) outcome {
	// What came before a byte was written is the response to another attempt. The connection is closed by
	// then, but http.Transport may have the response in its buffer, and return it before it sees that.
	if conn := a.carrier(); conn != nil && !a.begun() {
		closeUnused(conn, response)
		return outcome{result: admission.ConnectFailed}
	}
	if !isFramed(response) {
		result := resultWithoutResponse(a, body, errResponseUnframed) // before Close, which would read on
		_ = response.Body.Close()                                     // the connection is closed already
		return outcome{result: result}
	}
	defer func() { _ = response.Body.Close() }() // it was read to its end, or its connection is closed
	report := parseLoadReport(response.Header["X-Load-Report"], c.options.LoadReportFields)
	content, err := readBody(response)
	switch {
	case err != nil:
		return outcome{result: resultWithoutResponse(a, body, err), report: report}
	case response.StatusCode == http.StatusOK:
		served := &Response{Type: response.Header.Get("Content-Type"), Body: content}
		return outcome{result: admission.Succeeded, report: report, response: served}
	case isRejection(response):
		return outcome{result: admission.Rejected, report: report}
	}
	return outcome{result: admission.Errored, report: report}
}

// closeUnused closes a connection on which a response came that nothing was sent for.
func closeUnused(conn *backendConn, response *http.Response) {
	_ = conn.Close()
	_ = response.Body.Close() // of a connection that is closed
}

// isFramed reports whether a response says where it ends. One that ends with its connection looks
// like one cut off, and 101 is no response to a request.
func isFramed(response *http.Response) bool {
	chunked := len(response.TransferEncoding) == 1 && response.TransferEncoding[0] == "chunked"
	return response.ProtoMajor == 1 && response.StatusCode >= 200 && (response.ContentLength >= 0 || chunked)
}

// isRejection reports whether a backend rejected a request, which did not run then.
func isRejection(response *http.Response) bool {
	status := response.StatusCode
	return (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) &&
		response.Header.Get("X-Rejected") == "1"
}

// resultWithoutResponse returns what an attempt without a complete response proves: it never ran if its
// last byte was not written, and may have run otherwise. A connect that times out or a connection that
// breaks says less of a backend than a connect that is refused. No byte of the attempt is written once it
// has returned.
func resultWithoutResponse(a *attempt, body *requestBody, err error) admission.Result {
	conn := a.carrier()
	if conn == nil {
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return admission.ConnectFailed
		}
		return admission.Unreachable
	}
	conn.abort(a)
	_, complete := conn.progress(a)
	if complete && body.spent.Load() {
		return admission.ConnectionLost
	}
	return admission.ConnectFailed
}

// readBody reads the body of a response to its end, which frees the connection.
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
