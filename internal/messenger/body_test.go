package messenger

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
)

// Token requests and samples pass through hosts of any region. A field with a part of a
// caller's statement would leave the regions that its route permits.
func TestTokenRequestsAndSamplesCarryNoBody(t *testing.T) {
	tests := []struct {
		message proto.Message
		fields  []string
	}{
		{&AdmissionRequest{}, []string{"organisation", "max_wait_ms"}},
		{&AdmissionAnswer{}, []string{"known", "admitted", "wait_us", "retry_after_ms", "share", "level"}},
		{&SampleRequest{}, []string{"service", "max_age_ms", "direct"}},
		{&SampleAnswer{}, []string{"known", "term", "offset", "age_ms"}},
	}
	for _, test := range tests {
		descriptor := test.message.ProtoReflect().Descriptor()
		var fields []string
		for i := range descriptor.Fields().Len() {
			fields = append(fields, string(descriptor.Fields().Get(i).Name()))
		}
		qt.Assert(t, fields, qt.DeepEquals, test.fields, qt.Commentf("%s", descriptor.Name()))
	}
}
