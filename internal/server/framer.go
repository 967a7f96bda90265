package server

import (
	"encoding/binary"
	"io"
)

const (
	framerBytes = 4096
	// typedHeader and startupHeader are the lengths of a message's header
	// after and during startup.
	typedHeader   = 5
	startupHeader = 4
	// minMessage is the least value of a header's length, which counts itself.
	minMessage = 4
)

// framer reads a caller's bytes and never hands out more than the rest of one
// message, so that the decoder behind it holds nothing between messages.
type framer struct {
	src io.Reader
	// startup is true while messages have no type byte.
	startup bool

	buf  [framerBytes]byte
	r, w int
	// left is the number of bytes of the current message still to hand out.
	left int
}

// reset makes the framer read from src, after the given bytes.
func (f *framer) reset(src io.Reader, first []byte) {
	f.src = src
	f.r, f.left = 0, 0
	f.w = copy(f.buf[:], first)
}

// isDrained reports whether nothing read is left.
func (f *framer) isDrained() bool { return f.r == f.w && f.left == 0 }

// Read implements io.Reader.
func (f *framer) Read(p []byte) (int, error) {
	if f.left == 0 {
		if err := f.begin(); err != nil {
			return 0, err
		}
	}
	n := min(len(p), f.left)
	if f.r == f.w {
		k, err := f.src.Read(p[:n])
		f.left -= k
		return k, err
	}
	k := copy(p[:n], f.buf[f.r:f.w])
	f.r += k
	f.left -= k
	return k, nil
}

// begin reads the header of the next message.
func (f *framer) begin() error {
	header := typedHeader
	if f.startup {
		header = startupHeader
	}
	if err := f.fill(header); err != nil {
		return err
	}
	length := f.buf[f.r+header-startupHeader : f.r+header]
	f.left = header - startupHeader + max(minMessage, int(binary.BigEndian.Uint32(length)))
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
