// Package messenger contains the protocol buffer messages and RPC services
// between hosts, generated from the .proto files by "make generate", and the
// compression of message bodies.
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

// maxSnapshotBytes is the maximum size of a snapshot after decompression.
const maxSnapshotBytes = 256 << 20

// zstdEncoder and zstdDecoder create their shared instance on first use. Its
// EncodeAll and DecodeAll methods are safe for concurrent use.
var (
	zstdEncoder = sync.OnceValues(func() (*zstd.Encoder, error) { return zstd.NewWriter(nil) })
	zstdDecoder = sync.OnceValues(func() (*zstd.Decoder, error) {
		return zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxSnapshotBytes))
	})
)

// EncodeSnapshot marshals and compresses a snapshot.
func EncodeSnapshot(s *Snapshot) ([]byte, error) {
	body, err := proto.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("messenger: encode snapshot: %w", err)
	}
	return Compress(body)
}

// Compress compresses body with zstd.
func Compress(body []byte) ([]byte, error) {
	enc, err := zstdEncoder()
	if err != nil {
		return nil, fmt.Errorf("messenger: create compressor: %w", err)
	}
	return enc.EncodeAll(body, nil), nil
}

// Decompress decompresses the output of Compress.
func Decompress(compressed []byte) ([]byte, error) {
	dec, err := zstdDecoder()
	if err != nil {
		return nil, fmt.Errorf("messenger: create decompressor: %w", err)
	}
	body, err := dec.DecodeAll(compressed, nil)
	if err != nil {
		return nil, fmt.Errorf("messenger: decompress: %w", err)
	}
	return body, nil
}

// DecodeSnapshot decompresses and unmarshals the output of EncodeSnapshot.
func DecodeSnapshot(compressed []byte) (*Snapshot, error) {
	body, err := Decompress(compressed)
	if err != nil {
		return nil, err
	}
	s := &Snapshot{}
	if err := proto.Unmarshal(body, s); err != nil {
		return nil, fmt.Errorf("messenger: decode snapshot: %w", err)
	}
	return s, nil
}
