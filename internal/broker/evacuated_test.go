package broker

import (
	"bufio"
	"errors"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/internal/messenger"
	"github.com/shallotstage/shallotstage/pkg/keeper"
)

// The owner of an upstream's connections must refuse work for it beyond the limit of an
// evacuation, whatever the host that sent the work knows.
func TestOwnerRefusesWorkAtAnEvacuatedUpstream(t *testing.T) {
	set := &connector.PoolSet{Dialer: &connector.Dialer{}, MayForward: func(u keeper.Upstream) bool { return u.DataCentre != "a" }}
	set.Update(map[string]keeper.Upstream{"i-1": {ID: "i-1", DataCentre: "a", Slots: 1}}, func(keeper.Upstream) connector.PoolLimits { return connector.PoolLimits{MaxConnections: 1} })
	owner := &Broker{LocalConnections: set}
	work := encodeWork(connector.Limits{Deadline: time.Now().Add(time.Minute)}, connector.Batch{
		EndsLease: true, Requests: []connector.Request{{Verb: connector.VerbForward, ID: "x1", Text: "WRITE x 1"}},
	})
	work.Upstream, work.Organisation = "i-1", "t"
	header, err := proto.Marshal(work)
	qt.Assert(t, err, qt.IsNil)
	here, there := net.Pipe()
	defer func() { _ = here.Close() }()
	go owner.Handler(header)(t.Context(), there)
	var result messenger.LentResult
	qt.Assert(t, protodelim.UnmarshalFrom(bufio.NewReader(here), &result), qt.IsNil)
	// A host of an earlier build does not know the failure and looks only at this.
	qt.Assert(t, result.GetSent(), qt.IsFalse)
	_, err = decodeResult("i-1", &result)
	var runErr *connector.RunError
	var evacuatedErr *connector.EvacuatedError
	qt.Assert(t, errors.As(err, &runErr) && !runErr.MayHaveRun, qt.IsTrue)
	qt.Assert(t, errors.As(err, &evacuatedErr), qt.IsTrue)
}
