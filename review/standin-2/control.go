package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// configuration is the configuration of the cases: one database on a primary route.
const configuration = `{"version":7,"routes":[{"name":"r-1","host":"ledger","path_prefix":"/","type":"primary","timeout_ms":1000,"target_latency_ms":1000,"priority":1,"service":"service-1","max_attempts":2,"public":false}],
"services":[{"name":"service-1","health_check":"/health","max_conns":32,"protocol":"h1","tls":false,"sync_replicas":0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tx_idle_ms":3000},
"tenants":[{"name":"tenant-1","api_keys":["key-1"],"priority":1,"rate_per_s":2000,"burst":2000}]}`

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
