package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// soakEvacuateMS is the limit of the soak's evacuations. Hosts stop 2 s earlier.
	soakEvacuateMS = 2500
	// reconnectTime is how long hosts may take to reach the leader again after a fault
	// that ended right before an order; until then they count as out of contact.
	reconnectTime = time.Second
	// emptyTime is how long a data centre is seen to get no statements.
	emptyTime = 500 * time.Millisecond
)

// soakZones are the data centres of the soak's upstreams.
var soakZones = []string{"a", "b", "c"}

// order sends an order to evacuate a data centre, or its revocation, to control hosts until
// it is acknowledged, and returns when that was.
func (s *soak) order(method, zone string) time.Time {
	s.t.Helper()
	s.waitFor(method+" of the evacuation of "+zone, func() bool {
		status := call(method, s.control(s.rnd.IntN(soakControls))+"/evacuations/"+zone, "")
		if status >= 400 && status < 500 {
			s.history.addViolation("%s of the evacuation of %s was refused with HTTP status %d", method, zone, status)
		}
		return status == http.StatusOK
	})
	return time.Now()
}

// evacuate evacuates a data centre, checks that no statement reaches it after the limit, and
// revokes the order.
func (s *soak) evacuate(zone string) {
	s.evacuations++
	from := s.order(http.MethodPost, zone).Add(soakEvacuateMS*time.Millisecond + reconnectTime)
	to := from.Add(emptyTime)
	time.Sleep(time.Until(to))
	if n := s.group.statementsBetween(zone, from, to); n > 0 {
		s.history.addViolation("%d statements reached data centre %s after the limit of its evacuation", n, zone)
	}
	s.order(http.MethodDelete, zone)
}

// metric returns the value of a metric of a host, or an empty string.
func (f *fleet) metric(ip, name string) string {
	client := http.Client{Timeout: 2 * time.Second}
	answer, err := client.Get("http://" + f.address(ip, portMetrics) + "/metrics")
	if err != nil {
		return ""
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(body)) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// testCaller is a caller whose statements the test sends itself.
type testCaller struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
}

func (f *fleet) openCaller(ip string) *testCaller {
	conn, err := net.Dial("tcp", f.address(ip, portCaller))
	qt.Assert(f.t, err, qt.IsNil)
	f.t.Cleanup(func() { _ = conn.Close() })
	c := &testCaller{t: f.t, conn: conn, r: bufio.NewReader(conn)}
	c.send("STARTUP all k", "READY I -")
	return c
}

// send sends a line and checks the first line of the answer.
func (c *testCaller) send(text, want string) {
	c.t.Helper()
	_ = c.conn.SetDeadline(time.Now().Add(waitTimeout))
	_, err := fmt.Fprintf(c.conn, "%s\r\n", text)
	qt.Assert(c.t, err, qt.IsNil)
	for first := true; ; first = false {
		line, err := c.r.ReadString('\n')
		qt.Assert(c.t, err, qt.IsNil, qt.Commentf("%s", text))
		if first {
			qt.Assert(c.t, strings.TrimSpace(line), qt.Matches, want, qt.Commentf("%s", text))
		}
		if strings.HasPrefix(line, "READY") {
			return
		}
	}
}

// TestEvacuationOfADataCentre runs three control hosts and three entry hosts as processes
// in front of a primary and a replica in data centre a and a replica in data centre b, and
// evacuates a, and for a while both. The upstreams count the statements that reach them. It
// fails if one reaches an evacuated data centre after the limit, if the order does not survive a loss of all control hosts, if a host
// that starts afterwards does not keep to it, if the service does not hand over, if reads
// do not return after the revocation, and if a write is lost, applied twice or kept against
// its answer.
func TestEvacuationOfADataCentre(t *testing.T) {
	const evacuated = "shallotstage_evacuated_data_centres"
	s := newSoak(t, 3, []string{"a", "a", "b"})
	s.zones = map[string]string{soakIP(soakControls + 2): "b"}
	// The settings name no limit, so that the default applies.
	const limit = 5 * time.Second
	end := s.startFleet()
	s.waitForCallers("all callers to be served")
	begin := time.Now()
	s.waitFor("statements in data centre a", func() bool { return s.group.statementsBetween("a", begin, time.Now()) > 0 })

	quick, slow := s.openCaller(s.entries[0].ip), s.openCaller(s.entries[1].ip)
	for i, c := range []*testCaller{quick, slow} {
		c.send(fmt.Sprintf("QUERY tx%d-1 BEGIN", i), "COMPLETE.*")
		c.send(fmt.Sprintf("QUERY tx%d-2 WRITE tx%d 1", i, i), "COMPLETE.*")
	}
	acknowledged := s.order(http.MethodPost, "a")
	quick.send("QUERY tx0-3 COMMIT", "COMPLETE.*")
	for i := range soakControls {
		qt.Assert(t, call(http.MethodPost, s.control(i)+"/evacuations/a", ""), qt.Equals, http.StatusOK, qt.Commentf("a repeated order at control host %d", i))
	}
	limitOver := acknowledged.Add(limit)
	time.Sleep(time.Until(limitOver))
	slow.send("QUERY tx1-3 COMMIT", "ERROR ABORTED.*")
	s.waitFor("the hand-over to data centre b", func() bool { return s.group.currentPrimary().zone == "b" })
	s.waitForCallers("all callers to be served elsewhere")
	qt.Assert(t, s.group.statementsBetween("a", limitOver, time.Now()), qt.Equals, 0)

	// All control hosts lose their memory. An entry host that starts then knows only what
	// their disks kept.
	for _, p := range s.controls {
		s.kill(p, syscall.SIGKILL)
	}
	s.kill(s.entries[0], syscall.SIGKILL)
	for _, p := range s.controls {
		s.restart("control", p)
	}
	s.restart("entry", s.entries[0])
	for _, p := range append(append([]*hostProcess(nil), s.controls...), s.entries...) {
		s.waitFor("the order on "+p.ip, func() bool { return s.metric(p.ip, evacuated) == "1" })
	}
	s.waitForCallers("all callers to be served after the loss of all control hosts")
	time.Sleep(emptyTime)
	qt.Assert(t, s.group.statementsBetween("a", limitOver, time.Now()), qt.Equals, 0)
	qt.Assert(t, s.group.statementsBetween("b", limitOver, time.Now()) > 0, qt.IsTrue)

	// With b evacuated as well no candidate is left: the primary stays, and everything is
	// refused.
	from := s.order(http.MethodPost, "b").Add(limit)
	to := from.Add(emptyTime)
	time.Sleep(time.Until(to))
	for _, zone := range []string{"a", "b"} {
		qt.Assert(t, s.group.statementsBetween(zone, from, to), qt.Equals, 0, qt.Commentf("data centre %s", zone))
	}
	s.openCaller(s.entries[0].ip).send("QUERY all-1 WRITE all 1", "ERROR BUSY evacuated.*")
	s.order(http.MethodDelete, "b")
	s.waitForCallers("all callers to be served after the first revocation")
	qt.Assert(t, s.group.currentPrimary().zone, qt.Equals, "b")
	qt.Assert(t, s.group.statementsBetween("a", limitOver, time.Now()), qt.Equals, 0)

	revoked := s.order(http.MethodDelete, "a")
	s.waitFor("the return of reads", func() bool { return s.group.statementsBetween("a", revoked, time.Now()) > 0 })
	s.waitForCallers("all callers to be served after the revocation")
	time.Sleep(emptyTime)
	qt.Assert(t, s.group.currentPrimary().zone, qt.Equals, "b", qt.Commentf("primaries stay where they are"))
	end()
	s.check()
	s.checkLogs()
	qt.Assert(t, s.history.allViolations(), qt.HasLen, 0)
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	kept := map[string]bool{}
	for _, c := range s.group.log {
		kept[c.id] = true
	}
	qt.Assert(t, kept["tx0-2"], qt.IsTrue)
	qt.Assert(t, kept["tx1-2"], qt.IsFalse)
}
