package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// meteredService is a fake replicated service whose upstreams record when they receive
// which statements. All fields but its upstreams' identity are guarded by mu.
type meteredService struct {
	mu        sync.Mutex
	primary   string
	upstreams []*meteredUpstream
	sequence  int
	// promotions are the candidates that the platform was asked to promote.
	promotions []string
}

// meteredUpstream is an upstream of a meteredService.
type meteredUpstream struct {
	service  *meteredService
	id, zone string
	// address is where it listens.
	address string

	draining bool
	// coldUntil is when it stops being cold; zero means that it is warm.
	coldUntil  time.Time
	statements []meteredStatement
}

// meteredStatement is a statement that an upstream received.
type meteredStatement struct {
	at   time.Time
	text string
}

// add adds an upstream. The first one is the primary.
func (s *meteredService) add(t *testing.T, id, zone string) *meteredUpstream {
	u := &meteredUpstream{service: s, id: id, zone: zone}
	u.address = startUpstream(t, u.serve)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.primary == "" {
		s.primary = id
	}
	s.upstreams = append(s.upstreams, u)
	return u
}

// locked runs f while it holds the service's lock.
func (s *meteredService) locked(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// received returns the statements that the upstream received so far.
func (u *meteredUpstream) received() []meteredStatement {
	u.service.mu.Lock()
	defer u.service.mu.Unlock()
	return append([]meteredStatement(nil), u.statements...)
}

// serve answers the statements of one connection. Positions never change, so that every
// upstream has reached every position.
func (u *meteredUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	line, err := r.ReadString('\n')
	if fields := strings.Fields(line); err != nil || len(fields) != 4 || fields[3] != u.id {
		_, _ = fmt.Fprintf(conn, "ERROR MISROUTED %s\r\n", u.id)
		return
	}
	state, writes, answer := "I", false, ""
	for {
		if _, err := fmt.Fprintf(conn, "%sREADY %s 1.7\r\n", answer, state); err != nil {
			return
		}
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		fields := strings.SplitN(strings.TrimRight(line, "\r\n"), " ", 3)
		if len(fields) < 3 {
			return
		}
		text := fields[2]
		if tail, ok := strings.CutPrefix(text, "AFTER "); ok {
			_, text, _ = strings.Cut(tail, " ")
		}
		verb, _, _ := strings.Cut(text, " ")
		isPrimary := u.record(text)
		answer = "COMPLETE -\r\n"
		switch {
		case (text == "BEGIN" || verb == "WRITE" || verb == "COMMIT" && writes) && !isPrimary:
			state, answer = "I", "ERROR READONLY "+u.id+"\r\n"
		case verb == "BEGIN":
			state, writes = "T", text == "BEGIN"
		case verb == "COMMIT":
			state, writes, answer = "I", false, "COMPLETE "+newSignature()+"\r\n"
		case verb == "ROLLBACK" || verb == "RESET":
			state, writes = "I", false
		case verb == "STATUS" || verb == "DEMOTE":
			role := map[bool]string{true: "primary", false: "replica"}[isPrimary]
			answer = "ROW " + role + " 1 1.7 0 0 0 0\r\nCOMPLETE -\r\n"
		case verb == "READ" || verb == "WRITE":
			answer = "ROW " + u.id + "\r\nCOMPLETE " + newSignature() + "\r\n"
		}
	}
}

// record records a statement and reports whether the upstream is the primary.
func (u *meteredUpstream) record(text string) (isPrimary bool) {
	u.service.mu.Lock()
	defer u.service.mu.Unlock()
	u.statements = append(u.statements, meteredStatement{at: time.Now(), text: text})
	return u.service.primary == u.id
}

// heartbeats returns the bodies of the next heartbeats by upstream.
func (s *meteredService) heartbeats() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	bodies := map[string]string{}
	for _, u := range s.upstreams {
		state, role := "ready", "replica"
		if u.draining {
			state = "draining"
		}
		if s.primary == u.id {
			role = "primary"
		}
		cold := max(0, time.Until(u.coldUntil).Milliseconds())
		bodies[u.id] = fmt.Sprintf(`{"service":"s","address":"%s","zone":"%s","slots":8,"state":"%s","db_role":"%s","seq":%d,"born":5,"cold_remaining_ms":%d}`,
			u.address, u.zone, state, role, s.sequence, cold)
	}
	return bodies
}

// promote handles promotion requests in place of the platform.
func (s *meteredService) promote(_ http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.upstreams {
		if strings.Contains(string(body), `"`+u.id+`"`) {
			s.primary = u.id
			s.promotions = append(s.promotions, u.id)
		}
	}
}

// announce sends the heartbeats to the control hosts until stop is closed. The first
// round, in which all must be acknowledged, is over when it returns.
func (s *meteredService) announce(f *fleet, controls []string, stop <-chan struct{}) {
	send := func() bool {
		for id, body := range s.heartbeats() {
			acknowledged := false
			for _, ip := range controls {
				if call("PUT", "http://"+f.address(ip, portControl)+"/instances/"+id, body) == 200 {
					acknowledged = true
					break
				}
			}
			if !acknowledged {
				return false
			}
		}
		return true
	}
	f.waitFor("the acknowledgement of the heartbeats", send)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
				send()
			}
		}
	}()
}

// lineCaller is a caller of an entry host. One goroutine uses it.
type lineCaller struct {
	conn net.Conn
	r    *bufio.Reader
	n    int
}

// dialCaller opens a session on a route.
func dialCaller(address, route, key string) (*lineCaller, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &lineCaller{conn: conn, r: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprintf(conn, "STARTUP %s %s\r\n", route, key); err != nil {
		return c, err
	}
	line, err := c.r.ReadString('\n')
	if err == nil && !strings.HasPrefix(line, "READY") {
		err = fmt.Errorf("session was refused: %s", line)
	}
	return c, err
}

// query sends a statement and returns the lines of its answer without READY.
func (c *lineCaller) query(text string) (string, error) {
	c.n++
	_ = c.conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprintf(c.conn, "QUERY q%d %s\r\n", c.n, text); err != nil {
		return "", err
	}
	var lines []string
	for {
		line, err := c.r.ReadString('\n')
		if err != nil {
			return "", err
		}
		if strings.HasPrefix(line, "READY") {
			return strings.Join(lines, "|"), nil
		}
		lines = append(lines, strings.TrimSpace(line))
	}
}
