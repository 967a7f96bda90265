package server

import (
	"net"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"
)

// maxPooledBytes bounds the buffers that go back to the pool.
const maxPooledBytes = 64 << 10

// workspace is the memory that a session needs while it works on a unit. Idle
// sessions have none.
type workspace struct {
	framer  framer
	conn    net.Conn
	backend *pgproto3.Backend
	unit    unit
	out     []byte
}

var workspaces = sync.Pool{New: func() any {
	w := &workspace{}
	w.backend = pgproto3.NewBackend(&w.framer, w)
	return w
}}

// Write sends the decoder's own messages to the caller.
func (w *workspace) Write(p []byte) (int, error) { return w.conn.Write(p) }

// attachWorkspace gives the session a workspace that reads the first bytes
// before those of the connection.
func (c *session) attachWorkspace(first []byte) {
	c.workspace = workspaces.Get().(*workspace)
	c.workspace.conn = c.conn
	c.framer.reset(c.conn, first)
	c.framer.startup = false
	c.backend.SetMaxBodyLen(c.server.Bounds.MessageBytes)
}

// detachWorkspace gives the workspace back unless it holds unread bytes.
func (c *session) detachWorkspace() {
	w := c.workspace
	if w == nil || !w.framer.isDrained() {
		return
	}
	c.workspace = nil
	w.conn, w.framer.src = nil, nil
	w.unit.reset()
	if cap(w.out) > maxPooledBytes {
		w.out = nil
	}
	if cap(w.unit.bytes) > maxPooledBytes {
		w.unit.bytes = nil
	}
	w.out = w.out[:0]
	workspaces.Put(w)
}

// awaitWork waits for the caller's next byte without a workspace.
func (c *session) awaitWork() error {
	if c.workspace != nil {
		return nil
	}
	if _, err := c.conn.Read(c.first[:]); err != nil {
		return err
	}
	c.attachWorkspace(c.first[:])
	return nil
}
