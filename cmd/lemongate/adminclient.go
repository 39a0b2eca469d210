package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	jsoniter "github.com/json-iterator/go"
)

// adminCallTimeout bounds a call to an administration server, which responds within a second.
const adminCallTimeout = 2 * time.Second

// maxErrorBodyBytes is how much of the body of an error response is printed.
const maxErrorBodyBytes = 100

// A statusError is an error response of an administration server. The errors of this file begin with "console", the
// name of the flag that has the address.
type statusError struct {
	Code int // HTTP status
	Body []byte
}

func (e *statusError) Error() string {
	return fmt.Sprintf("console: status %d: %s", e.Code, e.Body[:min(len(e.Body), maxErrorBodyBytes)])
}

// callAdmin calls the administration server at an address, and decodes the JSON of the response into result unless
// that is nil. It returns the body of the response. A status of 300 or above is a *statusError.
func callAdmin(ctx context.Context, method, address, path string, result any) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, adminCallTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	defer func() { _ = response.Body.Close() }() // the body was read completely, or the call fails anyway
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, &statusError{Code: response.StatusCode, Body: body}
	}
	if result == nil {
		return body, nil
	}
	if err := jsoniter.Unmarshal(body, result); err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	return body, nil
}
