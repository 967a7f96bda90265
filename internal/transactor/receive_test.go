package transactor

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/shallotstage/shallotstage/pkg/keeper"
)

// lineCodec reads each line as a statement.
func lineCodec() *Codec {
	return &Codec{ReadStatement: func(r *bufio.Reader) (Statement, error) {
		line, err := r.ReadString('\n')
		return Statement{Text: strings.TrimSpace(line)}, err
	}}
}

// newPipedSession returns a session and the connection of its caller. A write of the caller
// returns when the session has read it.
func newPipedSession(t *testing.T) (*session, net.Conn) {
	caller, conn := net.Pipe()
	t.Cleanup(func() {
		_ = caller.Close()
		_ = conn.Close()
	})
	server := &Server{Codec: lineCodec(), View: func() (*keeper.View, <-chan struct{}) { return &keeper.View{}, nil }}
	s := &session{server: server, conn: conn}
	s.r = bufio.NewReader(s)
	s.markIdle()
	return s, caller
}

// received is what a session read.
type received struct {
	text string
	err  error
}

func (s *session) receiveAll(results chan<- received) {
	for {
		st, err := s.receive()
		results <- received{st.Text, err}
		if err != nil {
			return
		}
		s.markIdle()
	}
}

// A host that stopped dropped the half of a statement that had arrived and took the rest
// for a statement of its own.
func TestDrainKeepsAHalfReceivedStatement(t *testing.T) {
	for range 50 {
		s, caller := newPipedSession(t)
		results := make(chan received, 3)
		go s.receiveAll(results)
		for _, half := range []string{"WRITE note says: ", "WRITE account 1000000\n"} {
			_, err := io.WriteString(caller, half)
			qt.Assert(t, err, qt.IsNil)
			s.closeIfIdle(true)
		}
		qt.Assert(t, <-results, qt.Equals, received{text: "WRITE note says: WRITE account 1000000"})
	}
}

// A session that is closed while it waits reads nothing more.
func TestDrainEndsAnIdleSession(t *testing.T) {
	s, _ := newPipedSession(t)
	results := make(chan received, 1)
	go s.receiveAll(results)
	s.closeIfIdle(true)
	qt.Assert(t, (<-results).err, qt.Not(qt.IsNil))
}
