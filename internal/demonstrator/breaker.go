package demonstrator

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/shallotstage/shallotstage/internal/authenticator"
	"github.com/shallotstage/shallotstage/internal/pauser"
	"github.com/shallotstage/shallotstage/pkg/planner"
)

const (
	// cutOffTime is how long an upstream stays cut off.
	cutOffTime = 3 * time.Second
	// partitionTime is how long a data centre stays cut off.
	partitionTime = 5 * time.Second
	// keyBound is the time within which a withdrawn key must stop.
	keyBound = 17 * time.Second
)

// breakThings brings the faults about, evenly over the duration.
func (d *Demo) breakThings(ctx context.Context) {
	steps := d.Failovers
	if d.Partition {
		steps++
	}
	if steps == 0 {
		return
	}
	rnd := rand.New(rand.NewPCG(d.Seed, 2))
	gap := d.Duration / time.Duration(steps+1)
	groups := d.Layout.GroupNames()
	for i := range steps {
		if pauser.Pause(ctx, gap) != nil {
			return
		}
		if d.Partition && i == steps-1 {
			d.partition(ctx)
			continue
		}
		d.cutOffPrimary(ctx, groups[rnd.IntN(len(groups))])
	}
}

// cutOffPrimary cuts the primary of a group off, and lets it return later as
// a replica that may hold writes that the group does not.
func (d *Demo) cutOffPrimary(ctx context.Context, group string) {
	u := d.fleet.Upstream(d.fleet.Group(group).Primary)
	if u == nil {
		return
	}
	f := Fault{Kind: "primary_cut_off", Group: group, At: time.Now()}
	u.SetCutOff(true)
	f.End = f.At.Add(cutOffTime)
	d.addFault(f)
	time.AfterFunc(cutOffTime, func() { u.SetCutOff(false) })
	_ = ctx
}

// partition cuts the last data centre off from all others.
func (d *Demo) partition(ctx context.Context) {
	dcs := d.Layout.DataCentres
	last := dcs[len(dcs)-1].Name
	d.addFault(Fault{Kind: "data_centre_cut_off", At: time.Now(), End: time.Now().Add(partitionTime)})
	for _, dc := range dcs[:len(dcs)-1] {
		d.fleet.Network.Cut(dc.Name, last)
	}
	_ = pauser.Pause(ctx, partitionTime)
	d.fleet.Network.Heal()
}

// withdrawKey grants a key by intent, uses it on an open connection, withdraws
// it, and records when the last statement with it was accepted.
func (d *Demo) withdrawKey(ctx context.Context) {
	if pauser.Pause(ctx, d.Duration/8) != nil {
		return
	}
	organisation := d.Layout.Organisations[len(d.Layout.Organisations)-1].ID
	const key = "short-lived"
	verifier, err := authenticator.NewVerifier(key)
	if err != nil {
		return
	}
	grant := planner.Intent{ID: "grant-" + key, Author: "vesna", Kind: planner.IntentGrantKey, Target: key, Organisation: organisation, Verifier: verifier}
	if _, ok := d.decide(ctx, grant); !ok {
		return
	}
	if !d.waitForKey(ctx, key, false) {
		return
	}
	e := d.fleet.Entries[0]
	d.fleet.Keys[key] = key
	conn, err := d.fleet.Connect(ctx, e, e.DataCentre, key, d.Layout.GroupNames()[0], "")
	if err != nil {
		return
	}
	defer func() { _ = conn.Close(context.Background()) }()
	withdrawn, ok := d.decide(ctx, planner.Intent{ID: "withdraw-" + key, Author: "vesna", Kind: planner.IntentWithdrawKey, Target: key})
	if !ok {
		return
	}
	last := withdrawn
	for time.Since(withdrawn) < keyBound+time.Second {
		if _, err := conn.Exec(ctx, "SELECT 1"); err != nil {
			break
		}
		last = time.Now()
		if pauser.Pause(ctx, 2*time.Millisecond) != nil {
			break
		}
	}
	d.ledger.Check(MustKeyStops, last.Sub(withdrawn) <= keyBound, "a statement was accepted %s after the withdrawal", last.Sub(withdrawn))
	d.mu.Lock()
	d.lastKey = append(d.lastKey, milliseconds(last.Sub(withdrawn)))
	d.mu.Unlock()
	if d.waitForKey(ctx, key, true) {
		d.mu.Lock()
		d.inForce = append(d.inForce, milliseconds(time.Since(withdrawn)))
		d.mu.Unlock()
		d.ledger.Check(MustInForce, time.Since(withdrawn) <= keyBound, "a configuration was in force after %s", time.Since(withdrawn))
	}
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// decide sends an intent and confirms its plan as another operator. It returns
// when the confirmation was agreed.
func (d *Demo) decide(ctx context.Context, i planner.Intent) (time.Time, bool) {
	if _, err := d.fleet.Operate(ctx, planner.Operation{Kind: planner.OperationIntent, Intent: &i}); err != nil {
		return time.Time{}, false
	}
	if _, err := d.fleet.Operate(ctx, planner.Operation{Kind: planner.OperationConfirm, Plan: i.ID, Actor: "marko"}); err != nil {
		return time.Time{}, false
	}
	return time.Now(), true
}

// waitForKey waits until every entry host has the key's state in force.
func (d *Demo) waitForKey(ctx context.Context, key string, withdrawn bool) bool {
	for {
		all := true
		for _, e := range d.fleet.Entries {
			k, ok := e.State().Keys[key]
			all = all && ok && k.Withdrawn == withdrawn
		}
		if all {
			return true
		}
		if pauser.Pause(ctx, 5*time.Millisecond) != nil {
			return false
		}
	}
}
