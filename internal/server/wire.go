package server

import (
	"net"

	"github.com/jackc/pgx/v5/pgproto3"
)

// wire is the protocol state of a caller's connection.
type wire struct {
	backend *pgproto3.Backend
}

func newWire(conn net.Conn) *wire {
	return &wire{backend: pgproto3.NewBackend(conn, conn)}
}
