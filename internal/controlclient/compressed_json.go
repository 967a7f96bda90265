package controlclient

import (
	"encoding/json"
	"fmt"

	"github.com/shallotstage/shallotstage/internal/decoder"
	"github.com/shallotstage/shallotstage/internal/messenger"
)

// CompressedJSON is a value in compressed JSON. The same value goes to all
// entry hosts, over links that are slow and billed by volume, so it is
// compressed once.
type CompressedJSON []byte

// CompressJSON encodes and compresses a value.
func CompressJSON(v any) (CompressedJSON, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("controlclient: encode: %w", err)
	}
	return messenger.Compress(body)
}

// Decode decompresses and decodes the value into v.
func (p CompressedJSON) Decode(v any) error {
	body, err := messenger.Decompress(p)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, v); err != nil {
		return fmt.Errorf("controlclient: decode: %w", err)
	}
	return nil
}

// DecodeEntries is Decode for values with lists. It returns the entries that could not be
// decoded and were left out.
func (p CompressedJSON) DecodeEntries(v any) ([]*decoder.EntryError, error) {
	body, err := messenger.Decompress(p)
	if err != nil {
		return nil, err
	}
	odd, err := decoder.Decode(body, v)
	if err != nil {
		return nil, fmt.Errorf("controlclient: decode: %w", err)
	}
	return odd, nil
}
