package requester

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// serveTwice answers requests with their number. It sends each answer again when the next
// request on the connection has arrived.
func serveTwice(conn net.Conn, served *atomic.Int64) {
	defer func() { _ = conn.Close() }()
	r, late := bufio.NewReader(conn), ""
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body := fmt.Sprintf(`{"number":%d}`, served.Add(1))
		_ = request.Body.Close()
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if _, err := conn.Write([]byte(late + answer)); err != nil {
			return
		}
		late = answer
	}
}

// An order got the answer to an earlier one that came a second time.
func TestSecondAnswerIsNotThatOfTheNextRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = l.Close() }()
	var served atomic.Int64
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveTwice(conn, &served)
		}
	}()
	r := Requester{HTTP: &http.Client{Transport: &http.Transport{}}}
	for n := 1; n <= 3; n++ {
		var answer struct {
			Number int `json:"number"`
		}
		qt.Assert(t, r.Do(t.Context(), http.MethodPost, "http://"+l.Addr().String()+"/orders", map[string]int{"n": n}, &answer), qt.IsNil)
		qt.Assert(t, answer.Number, qt.Equals, n)
	}
}
