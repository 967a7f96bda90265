// Package requester sends JSON requests over HTTP with a bearer token and decodes
// JSON responses.
//
// # Usage
//
//	r := requester.Requester{Token: token}
//	err := r.Do(ctx, http.MethodPost, url, body, &response)
//	var refused *requester.StatusError
//	if errors.As(err, &refused) { ... }
package requester

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// maxErrorBodyBytes limits the part of an error response's body that is kept.
const maxErrorBodyBytes = 64 << 10

// Requester sends requests. The zero value sends no token and uses
// http.DefaultClient.
type Requester struct {
	Token string
	// HTTP is the HTTP client; nil means http.DefaultClient.
	HTTP *http.Client
}

// StatusError is a response with a status code other than 200.
type StatusError struct {
	Status int
	Body   []byte
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("requester: unexpected HTTP status %d", e.Status)
}

// Do sends a request with body encoded as JSON, or without a body if it is nil,
// and decodes the response into result.
func (r Requester) Do(ctx context.Context, method, url string, body, result any) error {
	encoded, err := encodeBody(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(encoded))
	if err != nil {
		return fmt.Errorf("requester: create request: %w", err)
	}
	// Nothing in a response ties it to its request but the connection.
	req.Close = true
	if r.Token != "" {
		req.Header.Set("Authorization", "Bearer "+r.Token)
	}
	req.Header.Set("Content-Type", "application/json")
	client := r.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("requester: send request: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		errorBody, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
		return &StatusError{Status: resp.StatusCode, Body: errorBody}
	}
	if err := json.NewDecoder(resp.Body).Decode(result); err != nil {
		return fmt.Errorf("requester: decode response: %w", err)
	}
	return nil
}

func encodeBody(body any) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("requester: encode request body: %w", err)
	}
	return encoded, nil
}
