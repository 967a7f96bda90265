package server

import (
	"encoding/binary"
	"io"
)

const (
	framerBufferBytes = 4096
	// typedHeaderBytes and startupHeaderBytes are the lengths of a message
	// header after and during startup.
	typedHeaderBytes   = 5
	startupHeaderBytes = 4
	// minMessageLength is the smallest valid value of the length field, which
	// counts itself.
	minMessageLength = 4
)

// framer reads from a client and never returns bytes beyond the end of the
// current message, so that the decoder reading from it buffers nothing between
// messages.
type framer struct {
	src io.Reader
	// startup is true while messages have no type byte.
	startup bool

	buf  [framerBufferBytes]byte
	r, w int
	// remaining is the number of bytes of the current message that were not
	// returned yet.
	remaining int
}

// reset makes the framer read the given bytes and then src.
func (f *framer) reset(src io.Reader, first []byte) {
	f.src = src
	f.r, f.remaining = 0, 0
	f.w = copy(f.buf[:], first)
}

// isDrained reports whether all bytes read from the source were returned.
func (f *framer) isDrained() bool { return f.r == f.w && f.remaining == 0 }

// Read implements io.Reader.
func (f *framer) Read(p []byte) (int, error) {
	if f.remaining == 0 {
		if err := f.readHeader(); err != nil {
			return 0, err
		}
	}
	n := min(len(p), f.remaining)
	if f.r == f.w {
		k, err := f.src.Read(p[:n])
		f.remaining -= k
		return k, err
	}
	k := copy(p[:n], f.buf[f.r:f.w])
	f.r += k
	f.remaining -= k
	return k, nil
}

// readHeader reads the header of the next message.
func (f *framer) readHeader() error {
	header := typedHeaderBytes
	if f.startup {
		header = startupHeaderBytes
	}
	if err := f.fill(header); err != nil {
		return err
	}
	length := f.buf[f.r+header-startupHeaderBytes : f.r+header]
	f.remaining = header - startupHeaderBytes + max(minMessageLength, int(binary.BigEndian.Uint32(length)))
	return nil
}

// fill reads until n bytes are buffered.
func (f *framer) fill(n int) error {
	if f.r == f.w {
		f.r, f.w = 0, 0
	}
	if len(f.buf)-f.r < n {
		f.w = copy(f.buf[:], f.buf[f.r:f.w])
		f.r = 0
	}
	for f.w-f.r < n {
		k, err := f.src.Read(f.buf[f.w:])
		f.w += k
		if err != nil {
			return err
		}
	}
	return nil
}
