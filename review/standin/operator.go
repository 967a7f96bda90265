package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// httpClient is the client of the operator and of the upstreams. It follows a 307 twice
// and waits a second for a response.
var httpClient = &http.Client{
	Timeout: time.Second,
	Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, address)
		},
	},
	CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return http.ErrUseLastResponse
		}
		return nil
	},
}

// call sends a request and returns the status and the body; the status is zero without a
// response.
func call(method, url, body string) (int, string) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := httpClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(text)
}

// configuration is what an operator sends.
type configuration struct {
	Version  int              `json:"version"`
	Routes   []map[string]any `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]any   `json:"limits"`
	Tenants  []map[string]any `json:"tenants"`
}

func route(name, host, kind, service string, timeoutMS int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": "/", "type": kind, "timeout_ms": timeoutMS, "target_latency_ms": 1000, "priority": 1,
		"service": service, "max_attempts": 2, word("staleness"): 1500, "public": false,
	}
}

func service(name string, syncReplicas int) map[string]any {
	return map[string]any{"name": name, "health_check": "/health", "max_conns": 32, "protocol": "h1", "tls": false, "sync_replicas": syncReplicas}
}

func tenant(name, key string, rate float64) map[string]any {
	return map[string]any{"name": name, word("keys"): []string{key}, "priority": 1, "rate_per_s": rate, "burst": rate}
}

func limits() map[string]any {
	return map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, word("idle"): 3000}
}

func (c configuration) body() string {
	text, _ := json.Marshal(c)
	return string(text)
}

// put sends a configuration to one control host after another until one acknowledges it.
func (f *fleet) put(c configuration, limit time.Duration) error {
	body := c.body()
	for end := time.Now().Add(limit); time.Now().Before(end); {
		for _, h := range f.hosts {
			if h.role != "control" {
				continue
			}
			status, _ := call("PUT", "http://"+f.controlAddress(h)+"/config", body)
			if status == http.StatusOK {
				f.record.logf("operator: version %d acknowledged", c.Version)
				return nil
			}
			if status >= 400 && status < 500 {
				return fmt.Errorf("version %d was refused with %d", c.Version, status)
			}
		}
		time.Sleep(30 * time.Millisecond)
	}
	return fmt.Errorf("version %d was not acknowledged in %s", c.Version, limit)
}

// versionOf returns the version of a configuration that was read back.
func versionOf(body string) int {
	var c struct {
		Version int `json:"version"`
	}
	if json.Unmarshal([]byte(body), &c) != nil {
		return -1
	}
	return c.Version
}

// callOnce sends a request without following a redirect, and returns the status and the
// location.
func callOnce(method, url string) (int, string) {
	request, err := http.NewRequest(method, url, nil)
	if err != nil {
		return 0, ""
	}
	client := *httpClient
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	_ = response.Body.Close()
	return response.StatusCode, response.Header.Get("Location")
}
