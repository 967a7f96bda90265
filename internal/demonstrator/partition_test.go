package demonstrator

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgconn"
)

// availability states which requests a data centre serves.
type availability string

const (
	// available means that reads and writes of every group are served.
	available availability = "all"
	// unavailable means that requests with a key are refused as not run.
	unavailable availability = "none"
)

// partitionCases are the partitions of a layout with three data centres, given by
// index; the first two are in one region. The expected result does not depend on
// which upstream is primary when the partition starts.
var partitionCases = []struct {
	name string
	cuts [][2]int
	want [3]availability
}{
	{"first data centre alone", [][2]int{{0, 1}, {0, 2}}, [3]availability{unavailable, available, available}},
	{"second data centre alone", [][2]int{{1, 0}, {1, 2}}, [3]availability{available, unavailable, available}},
	{"third data centre alone, which is the link between the regions", [][2]int{{2, 0}, {2, 1}}, [3]availability{available, available, unavailable}},
	{"all three apart", [][2]int{{0, 1}, {0, 2}, {1, 2}}, [3]availability{unavailable, unavailable, unavailable}},
}

// partitionTimeout is the time within which the fleet must reach the expected state.
const partitionTimeout = 20 * time.Second

func TestPartitions(t *testing.T) {
	for _, layout := range []Layout{Association(), Zupcanik()} {
		for _, tc := range partitionCases {
			t.Run(layout.Name+"/"+tc.name, func(t *testing.T) {
				t.Parallel()
				checkPartition(t, layout, tc.cuts, tc.want)
			})
		}
	}
}

// startSmallFleet starts a fleet with one group, stops it at the end of the test,
// and returns the group's name.
func startSmallFleet(c *qt.C, layout Layout) (f *Fleet, group string) {
	layout.Groups = 1
	f = &Fleet{Layout: layout, Log: newFailureLog(c)}
	c.Assert(f.Start(context.Background()), qt.IsNil)
	c.Cleanup(f.Stop)
	return f, layout.GroupNames()[0]
}

func checkPartition(t *testing.T, layout Layout, cuts [][2]int, want [3]availability) {
	c := qt.New(t)
	f, group := startSmallFleet(c, layout)
	c.Assert(f.execAt(0, group, "CREATE TABLE t (id text)"), qt.IsNil)
	for _, cut := range cuts {
		f.Network.Partition(layout.DataCentres[cut[0]].Name, layout.DataCentres[cut[1]].Name)
	}
	for i, dc := range layout.DataCentres {
		deadline := time.Now().Add(partitionTimeout)
		for {
			err := f.execAt(i, group, "INSERT INTO t (id) VALUES ('x')")
			got := availabilityOf(c, err)
			if got == want[i] {
				break
			}
			c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%s: %v", dc.Name, err))
		}
	}
	f.Network.Heal()
	for i := range layout.DataCentres {
		deadline := time.Now().Add(partitionTimeout)
		for {
			err := f.execAt(i, group, "INSERT INTO t (id) VALUES ('y')")
			if err == nil {
				break
			}
			c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("after healing: %v", err))
		}
	}
}

// execAt runs one statement through the first entry host of a data centre.
func (f *Fleet) execAt(dataCentre int, group, sql string) error {
	ctx, cancel := context.WithTimeout(context.Background(), partitionTimeout)
	defer cancel()
	dc := f.Layout.DataCentres[dataCentre].Name
	for _, e := range f.Entries {
		if e.DataCentre != dc {
			continue
		}
		conn, err := f.Connect(ctx, e, dc, f.Layout.Organisations[0].ID, group, "")
		if err != nil {
			return err
		}
		defer func() { _ = conn.Close(ctx) }()
		_, err = conn.Exec(ctx, sql)
		return err
	}
	return errors.New("demonstrator: no such data centre")
}

// availabilityOf maps the error of a request to an availability. A request that
// was in progress when the partition started may end without the verdict not_run.
func availabilityOf(c *qt.C, err error) availability {
	if err == nil {
		return available
	}
	var pe *pgconn.PgError
	if errors.As(err, &pe) && pe.Code == "57P03" {
		c.Assert(strings.Contains(pe.Detail, "verdict=not_run"), qt.IsTrue)
		return unavailable
	}
	return ""
}
