package linker

import (
	"encoding/json"

	"storj.io/drpc"

	"github.com/shallotstage/shallotstage/internal/decoder"
)

// JSONEncoding is the encoding of calls without generated code. It encodes a
// message's exported fields.
type JSONEncoding struct{}

// Marshal implements drpc.Encoding.
func (JSONEncoding) Marshal(msg drpc.Message) ([]byte, error) { return json.Marshal(msg) }

// Unmarshal implements drpc.Encoding.
func (JSONEncoding) Unmarshal(buf []byte, msg drpc.Message) error { return json.Unmarshal(buf, msg) }

// EntryEncoding is a JSONEncoding that leaves out entries of the message's lists that
// cannot be decoded, and passes them to Ignored, which may be nil.
type EntryEncoding struct {
	JSONEncoding
	Ignored func(e *decoder.EntryError)
}

// Unmarshal implements drpc.Encoding.
func (enc EntryEncoding) Unmarshal(buf []byte, msg drpc.Message) error {
	odd, err := decoder.Decode(buf, msg)
	for _, e := range odd {
		if enc.Ignored != nil {
			enc.Ignored(e)
		}
	}
	return err
}
