// Package messenger holds the messages between the processes of the fleet and
// their generated code. control.proto describes them; "make generate" makes the
// code anew.
//
// # Usage
//
//	stream, err := messenger.NewDRPCControlClient(conn).Attend(ctx)
//	err = stream.Send(&messenger.HostReport{HostId: "regina-a-1"})
package messenger

import (
	"fmt"
	"sync"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"
)

// maxSnapshotBytes bounds a snapshot after decompression.
const maxSnapshotBytes = 256 << 20

// packer and unpacker are safe for concurrent use through their EncodeAll and
// DecodeAll.
var (
	packer   = sync.OnceValues(func() (*zstd.Encoder, error) { return zstd.NewWriter(nil) })
	unpacker = sync.OnceValues(func() (*zstd.Decoder, error) {
		return zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxSnapshotBytes))
	})
)

// PackSnapshot encodes and compresses a snapshot.
func PackSnapshot(s *Snapshot) ([]byte, error) {
	body, err := proto.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("messenger: encode snapshot: %w", err)
	}
	return Pack(body)
}

// Pack compresses a body.
func Pack(body []byte) ([]byte, error) {
	enc, err := packer()
	if err != nil {
		return nil, fmt.Errorf("messenger: create compressor: %w", err)
	}
	return enc.EncodeAll(body, nil), nil
}

// Unpack reads what Pack made.
func Unpack(packed []byte) ([]byte, error) {
	dec, err := unpacker()
	if err != nil {
		return nil, fmt.Errorf("messenger: create decompressor: %w", err)
	}
	body, err := dec.DecodeAll(packed, nil)
	if err != nil {
		return nil, fmt.Errorf("messenger: decompress: %w", err)
	}
	return body, nil
}

// UnpackSnapshot reads what PackSnapshot made.
func UnpackSnapshot(packed []byte) (*Snapshot, error) {
	body, err := Unpack(packed)
	if err != nil {
		return nil, err
	}
	s := &Snapshot{}
	if err := proto.Unmarshal(body, s); err != nil {
		return nil, fmt.Errorf("messenger: decode snapshot: %w", err)
	}
	return s, nil
}
