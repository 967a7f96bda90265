package keeper

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// earlierState is a state as builds without permitted regions and warm-up rates wrote it.
const earlierState = `{"document":"Nw==","upstreams":{"i-1":{"id":"i-1","service":"s","address":"10.0.0.9:8080","data_centre":"a","slots":3,"life":"ready","role":"primary","cold":8000000000,"born":1700,"sequence":4}},
"removed":{},"primaries":{"s":"i-1"},"promotions":{"s":{"service":"s","candidate":"i-1","holder":"c","token":9,"reason":"r","done":true}},
"members":{"m":{"id":"m","node":"c","peer_address":"x:1","operator_address":"x:2","data_centre":"a","region":"r"}},"hosts":{"h":true},"peers":{"h":{"address":"y:1","data_centre":"a"}}}`

// A control host that is replaced by one of this build must not lose its state.
func TestStateOfAnEarlierBuildIsRead(t *testing.T) {
	s, err := Unmarshal([]byte(earlierState), decode)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s.Ignored(), qt.HasLen, 0)
	qt.Assert(t, s.Configuration().Version, qt.Equals, uint64(7))
	qt.Assert(t, s.Upstreams["i-1"].WarmupRemaining, qt.Equals, 8*time.Second)
	qt.Assert(t, s.Primaries["s"], qt.Equals, "i-1")
	qt.Assert(t, s.Promotions["s"].Token, qt.Equals, uint64(9))
}
