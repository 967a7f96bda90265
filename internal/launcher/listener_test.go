package launcher

import (
	"context"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Upstreams and operators each leave no connection behind at a control host.
func TestOperatorConnectionsEndWithTheirRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		ended <- serveSingleRequests(ctx, l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTemporaryRedirect) }))
	}()
	client := http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	answer, err := client.Get("http://" + l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	_ = answer.Body.Close()
	qt.Assert(t, answer.StatusCode, qt.Equals, http.StatusTemporaryRedirect)
	qt.Assert(t, answer.Close, qt.IsTrue)
	cancel()
	qt.Assert(t, <-ended, qt.IsNil)
}
