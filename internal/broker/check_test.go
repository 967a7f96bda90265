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
)

// runAtOwner sends the batch to an owner with the check and returns the result.
func runAtOwner(t *testing.T, batch connector.Batch, check func(upstream, organisation, route string) error) error {
	owner := &Broker{LocalConnections: &connector.PoolSet{}, Check: check}
	work := encodeWork(connector.Limits{Deadline: time.Now().Add(time.Minute)}, batch)
	work.Upstream, work.Organisation, work.Route = "u", "o", batch.Route
	header, err := proto.Marshal(work)
	qt.Assert(t, err, qt.IsNil)
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	go owner.Handler(header)(t.Context(), far)
	_ = near.SetDeadline(time.Now().Add(10 * time.Second))
	var result messenger.LentResult
	qt.Assert(t, protodelim.UnmarshalFrom(bufio.NewReader(near), &result), qt.IsNil)
	_, err = decodeResult("u", &result)
	return err
}

// A host that does not know of a restriction yet would have the owner send restricted
// statements to the upstream.
func TestOwnerRefusesStatementsOfRestrictedRoutes(t *testing.T) {
	var asked []string
	check := func(upstream, organisation, route string) error {
		asked = append(asked, upstream+" "+organisation+" "+route)
		return &connector.RegionError{Upstream: upstream}
	}
	forward := connector.Batch{Route: "main", EndsLease: true, Requests: []connector.Request{{Verb: connector.VerbForward, ID: "1", Text: "WRITE a 1"}}}
	err := runAtOwner(t, forward, check)
	var regionErr *connector.RegionError
	qt.Assert(t, errors.As(err, &regionErr), qt.IsTrue, qt.Commentf("%v", err))
	var runErr *connector.RunError
	qt.Assert(t, errors.As(err, &runErr), qt.IsTrue)
	qt.Assert(t, runErr.MayHaveRun, qt.IsFalse)
	qt.Assert(t, asked, qt.DeepEquals, []string{"u o main"})

	// A query of the position is allowed everywhere; it fails here as the pool is unknown.
	probe := connector.Batch{Route: "main", EndsLease: true, PositionOnly: true, Requests: []connector.Request{{Verb: connector.VerbBegin}, {Verb: connector.VerbRollback}}}
	var connectErr *connector.ConnectError
	qt.Assert(t, errors.As(runAtOwner(t, probe, check), &connectErr), qt.IsTrue)
	qt.Assert(t, asked, qt.HasLen, 1)
}
