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

// served is what a data centre can do.
type served string

const (
	// servedAll means reads and writes of every group, with keys.
	servedAll served = "all"
	// servedNone means that keyed requests are refused as not run.
	servedNone served = "none"
)

// partitionCases are the cuts of a layout with three data centres: names are
// indexes, the first two in one region. What is expected is the same whichever
// upstream is primary when the cut begins.
var partitionCases = []struct {
	name string
	cuts [][2]int
	want [3]served
}{
	{"first data centre alone", [][2]int{{0, 1}, {0, 2}}, [3]served{servedNone, servedAll, servedAll}},
	{"second data centre alone", [][2]int{{1, 0}, {1, 2}}, [3]served{servedAll, servedNone, servedAll}},
	{"third data centre alone, which is the link between the regions", [][2]int{{2, 0}, {2, 1}}, [3]served{servedAll, servedAll, servedNone}},
	{"all three apart", [][2]int{{0, 1}, {0, 2}, {1, 2}}, [3]served{servedNone, servedNone, servedNone}},
}

// partitionBound is the time within which a cut must have settled.
const partitionBound = 20 * time.Second

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

// startSmallFleet starts a fleet with one group, which the end of the test
// stops, and returns the group's name.
func startSmallFleet(c *qt.C, layout Layout) (f *Fleet, group string) {
	layout.Groups = 1
	f = &Fleet{Layout: layout}
	c.Assert(f.Start(context.Background()), qt.IsNil)
	c.Cleanup(f.Stop)
	return f, layout.GroupNames()[0]
}

func checkPartition(t *testing.T, layout Layout, cuts [][2]int, want [3]served) {
	c := qt.New(t)
	f, group := startSmallFleet(c, layout)
	c.Assert(f.try(0, group, "CREATE TABLE t (id text)"), qt.IsNil)
	for _, cut := range cuts {
		f.Network.Cut(layout.DataCentres[cut[0]].Name, layout.DataCentres[cut[1]].Name)
	}
	for i, dc := range layout.DataCentres {
		deadline := time.Now().Add(partitionBound)
		for {
			err := f.try(i, group, "INSERT INTO t (id) VALUES ('x')")
			got := verdictOf(c, err)
			if got == want[i] {
				break
			}
			c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%s: %v", dc.Name, err))
		}
	}
	f.Network.Heal()
	for i := range layout.DataCentres {
		deadline := time.Now().Add(partitionBound)
		for {
			err := f.try(i, group, "INSERT INTO t (id) VALUES ('y')")
			if err == nil {
				break
			}
			c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("after healing: %v", err))
		}
	}
}

// try runs one statement at the first entry host of a data centre.
func (f *Fleet) try(dataCentre int, group, sql string) error {
	ctx, cancel := context.WithTimeout(context.Background(), partitionBound)
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

// verdictOf maps an outcome to what the data centre serves. A request that was
// under way when the cut began may end without a verdict of not run.
func verdictOf(c *qt.C, err error) served {
	if err == nil {
		return servedAll
	}
	var pe *pgconn.PgError
	if errors.As(err, &pe) && pe.Code == "57P03" {
		c.Assert(strings.Contains(pe.Detail, "verdict=not_run"), qt.IsTrue)
		return servedNone
	}
	return ""
}
