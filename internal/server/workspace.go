package server

import (
	"net"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"
)

// maxPooledBytes is the maximum capacity of a buffer that is returned to the
// pool.
const maxPooledBytes = 64 << 10

// workspace holds the buffers that a session needs while it handles a request.
// Idle sessions have none.
type workspace struct {
	framer   framer
	conn     net.Conn
	backend  *pgproto3.Backend
	request  request
	response []byte
}

var workspaces = sync.Pool{New: func() any {
	w := &workspace{}
	w.backend = pgproto3.NewBackend(&w.framer, w)
	return w
}}

// Write sends messages that the decoder itself produces to the client.
func (w *workspace) Write(p []byte) (int, error) { return w.conn.Write(p) }

// attachWorkspace takes a workspace from the pool. It reads the given first
// bytes before those of the connection.
func (c *session) attachWorkspace(first []byte) {
	c.workspace = workspaces.Get().(*workspace)
	c.workspace.conn = c.conn
	c.framer.reset(c.conn, first)
	c.framer.startup = false
	c.backend.SetMaxBodyLen(c.server.Limits.MaxMessageBytes)
}

// detachWorkspace returns the workspace to the pool unless it holds unread
// bytes.
func (c *session) detachWorkspace() {
	w := c.workspace
	if w == nil || !w.framer.isDrained() {
		return
	}
	c.workspace = nil
	w.conn, w.framer.src = nil, nil
	w.request.reset()
	if cap(w.response) > maxPooledBytes {
		w.response = nil
	}
	if cap(w.request.bytes) > maxPooledBytes {
		w.request.bytes = nil
	}
	w.response = w.response[:0]
	workspaces.Put(w)
}

// awaitRequest waits without a workspace for the first byte of the next
// request.
func (c *session) awaitRequest() error {
	if c.workspace != nil {
		return nil
	}
	if _, err := c.conn.Read(c.firstByte[:]); err != nil {
		return err
	}
	c.attachWorkspace(c.firstByte[:])
	return nil
}
