package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// call sends one HTTP request. Its status is zero if there was no response within a second.
func call(method, url, body string) (status int, location, response string) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", ""
	}
	request.Header.Set("Content-Type", "application/json")
	request.Close = true
	client := http.Client{Timeout: time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	answer, err := client.Do(request)
	if err != nil {
		return 0, "", ""
	}
	defer func() { _ = answer.Body.Close() }()
	b, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, "", ""
	}
	return answer.StatusCode, answer.Header.Get("Location"), string(b)
}

// control calls the control hosts as the pages say: it follows a 307 twice, and moves on to
// another node, with increasing backoff, after a failure.
func (f *fleet) control(method, path, body string, first int, limit time.Duration) (status int, response string) {
	end, backoff := time.Now().Add(limit), 50*time.Millisecond
	for i := first; ; i++ {
		url := "http://" + f.address(f.controls[i%len(f.controls)], portControl) + path
		for range 3 {
			var location string
			status, location, response = call(method, url, body)
			if status != http.StatusTemporaryRedirect || location == "" {
				break
			}
			url = location
		}
		if status >= 200 && status < 300 || status >= 400 && status < 500 && status != 408 && status != 429 {
			return status, response
		}
		if time.Now().After(end) {
			return status, response
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, 400*time.Millisecond)
	}
}

// configure sends a configuration until it is acknowledged.
func (f *fleet) configure(version int, body string) error {
	for end := time.Now().Add(20 * time.Second); ; {
		status, _ := f.control("PUT", "/config", body, version, time.Second)
		f.rec.add("operator: configuration %d gets %d", version, status)
		if status == http.StatusOK {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("configuration %d got %d", version, status)
		}
	}
}
