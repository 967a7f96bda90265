package server

import (
	"errors"
	"io"
	"net"
)

func asError(err error, target any) bool { return errors.As(err, target) }

// isNetError reports whether err means that the connection was closed or
// failed.
func isNetError(err error) bool {
	var ne net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &ne)
}
