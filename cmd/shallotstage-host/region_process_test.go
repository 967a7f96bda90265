package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// inZone places a host in a data centre of two regions: east has a and c, west has b.
func inZone(zone string) func(settings string) string {
	region := map[string]string{"a": "east", "b": "west", "c": "east"}[zone]
	return func(settings string) string {
		settings = strings.Replace(settings, `zone = "a"`, `zone = "`+zone+`"`, 1)
		settings = strings.Replace(settings, `region = "r"`, `region = "`+region+`"`, 1)
		before, rest, _ := strings.Cut(settings, "[zones]\n")
		_, after, _ := strings.Cut(rest, "[listen]\n")
		return before + "[zones]\na = \"east\"\nb = \"west\"\nc = \"east\"\n[listen]\n" + after
	}
}

// configureFleet submits a configuration until it is acknowledged.
func (f *fleet) configureFleet(ip, body string) {
	f.t.Helper()
	f.waitFor("the acknowledgement of the configuration", func() bool {
		return call("PUT", "http://"+f.address(ip, portControl)+"/config", body) == 200
	})
}

// TestPermittedRegionsOfProcesses runs control and entry hosts of two regions in front of
// upstreams that record what they receive. A statement of a restricted route or
// organisation that reaches an upstream of the other region fails it, as does a promotion that prefers
// that region.
func TestPermittedRegionsOfProcesses(t *testing.T) {
	f := newFleet(t)
	service := &meteredService{}
	west := service.add(t, "i-0", "b")
	west2 := service.add(t, "i-1", "b")
	east := service.add(t, "i-2", "a")
	platform := httptest.NewServer(http.HandlerFunc(service.promote))
	defer platform.Close()
	f.platformAddress = strings.TrimPrefix(platform.URL, "http://")
	controls := []string{"127.0.0.2", "127.0.0.3", "127.0.0.4"}
	for i, ip := range controls {
		f.startAdjusted("control", ip, inZone([]string{"a", "b", "c"}[i]))
	}
	entries := []*hostProcess{f.startAdjusted("entry", "127.0.0.5", inZone("a")), f.startAdjusted("entry", "127.0.0.6", inZone("b"))}
	route := `{"name":"%s","host":"%s","path_prefix":"/","type":"%s","timeout_ms":2000,"target_latency_ms":1500,"max_staleness_ms":1000,"service":"s","allowed_regions":%s}`
	f.configureFleet(controls[1], fmt.Sprintf(`{"version":3,"routes":[`+strings.Join([]string{route, route, route, route}, ",")+`],
"services":[{"name":"s","max_conns":30}],"tenants":[{"name":"t","api_keys":["k"],"rate_per_s":10000,"burst":10000},
{"name":"t-east","api_keys":["k-east"],"rate_per_s":10000,"burst":10000,"allowed_regions":["east"]}]}`,
		"r1", "open", "read_your_writes", "[]", "r2", "open-primary", "primary", "[]",
		"r3", "east", "bounded_staleness", `["east"]`, "r4", "east-primary", "primary", `["east"]`))
	stop := make(chan struct{})
	defer close(stop)
	service.announce(f, controls, stop)
	for _, entry := range entries {
		ready := "http://" + f.address(entry.ip, portReady) + "/ready"
		f.waitFor("readiness", func() bool { return call("GET", ready, "") == 200 })
	}
	// Each restricted statement carries the word secret.
	query := func(entry *hostProcess, route, key, text string) string {
		t.Helper()
		answer := ""
		f.waitFor("an answer to "+text, func() bool {
			c, err := dialCaller(f.address(entry.ip, portCaller), route, key)
			if c != nil {
				defer func() { _ = c.conn.Close() }()
			}
			if err != nil {
				return false
			}
			answer, err = c.query(text)
			return err == nil && !strings.Contains(answer, "no_upstream") && !strings.Contains(answer, "no_floor")
		})
		return answer
	}
	const refused = "ERROR BUSY region_not_permitted"
	for _, entry := range entries {
		// A host is ready once it knows one upstream.
		f.waitFor("the upstream in the east", func() bool { return strings.Contains(query(entry, "east", "k", "READ secret"), "ROW i-2") })
	}
	for i := range 20 {
		for _, entry := range entries {
			text := fmt.Sprintf("READ secret-%d", i)
			qt.Assert(t, query(entry, "east", "k", text), qt.Contains, "ROW i-2")
			qt.Assert(t, query(entry, "open", "k-east", text), qt.Contains, "ROW i-2")
			qt.Assert(t, query(entry, "east-primary", "k", text), qt.Contains, refused)
			qt.Assert(t, query(entry, "open-primary", "k-east", "WRITE secret 1"), qt.Contains, refused)
			qt.Assert(t, query(entry, "open-primary", "k", "WRITE open 1"), qt.Contains, "ROW i-0")
			qt.Assert(t, query(entry, "open", "k", "READ open"), qt.Contains, "ROW i-")
		}
	}
	// The other replica has the lower ID and the same position.
	service.locked(func() { west.draining = true })
	f.waitFor("another primary", func() bool {
		service.mu.Lock()
		defer service.mu.Unlock()
		return service.primary != "i-0"
	})
	service.locked(func() { qt.Check(t, service.promotions, qt.DeepEquals, []string{"i-2"}) })
	f.waitFor("restricted writes at the new primary", func() bool {
		return strings.Contains(query(entries[1], "east-primary", "k", "WRITE secret 2"), "ROW i-2")
	})
	secrets := map[string]map[int64]int{"east": {}, "west": {}}
	for region, upstreams := range map[string][]*meteredUpstream{"east": {east}, "west": {west, west2}} {
		for _, u := range upstreams {
			for _, s := range u.received() {
				if strings.Contains(s.text, "secret") {
					secrets[region][s.at.Unix()]++
				}
			}
		}
	}
	t.Logf("restricted statements by region and second: %v", secrets)
	qt.Assert(t, secrets["west"], qt.HasLen, 0)
	total := 0
	for _, n := range secrets["east"] {
		total += n
	}
	qt.Assert(t, total >= 20*2*2, qt.IsTrue, qt.Commentf("%d restricted statements", total))
	var opened int
	for _, s := range west.received() {
		if strings.Contains(s.text, "open") && time.Since(s.at) >= 0 {
			opened++
		}
	}
	qt.Assert(t, opened > 0, qt.IsTrue, qt.Commentf("unrestricted statements still reach the west"))
}
