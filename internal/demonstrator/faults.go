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
	// isolationDuration is how long an upstream stays isolated.
	isolationDuration = 3 * time.Second
	// partitionDuration is how long a data centre stays isolated.
	partitionDuration = 5 * time.Second
	// keyWithdrawalLimit is the time after which a withdrawn key must be rejected.
	keyWithdrawalLimit = 17 * time.Second
)

// injectFaults injects the faults at even intervals over the duration.
func (d *Demo) injectFaults(ctx context.Context) {
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
		if pauser.Sleep(ctx, gap) != nil {
			return
		}
		if d.Partition && i == steps-1 {
			d.isolateLastDataCentre(ctx)
			continue
		}
		d.isolatePrimary(ctx, groups[rnd.IntN(len(groups))])
	}
}

// isolatePrimary isolates the primary of a group for a while. It may return as a
// replica with writes that the group does not have.
func (d *Demo) isolatePrimary(ctx context.Context, group string) {
	u := d.fleet.Upstream(d.fleet.Group(group).Primary)
	if u == nil {
		return
	}
	f := Fault{Kind: "primary_cut_off", Group: group, At: time.Now()}
	u.SetIsolated(true)
	f.End = f.At.Add(isolationDuration)
	d.addFault(f)
	time.AfterFunc(isolationDuration, func() { u.SetIsolated(false) })
	_ = ctx
}

// isolateLastDataCentre cuts the last data centre off from all others for a while.
func (d *Demo) isolateLastDataCentre(ctx context.Context) {
	dcs := d.Layout.DataCentres
	last := dcs[len(dcs)-1].Name
	d.addFault(Fault{Kind: "data_centre_cut_off", At: time.Now(), End: time.Now().Add(partitionDuration)})
	for _, dc := range dcs[:len(dcs)-1] {
		d.fleet.Network.Partition(dc.Name, last)
	}
	_ = pauser.Sleep(ctx, partitionDuration)
	d.fleet.Network.Heal()
}

// measureKeyWithdrawal grants a key, uses it on an open connection, withdraws it,
// and records when the last statement with it was accepted.
func (d *Demo) measureKeyWithdrawal(ctx context.Context) {
	if pauser.Sleep(ctx, d.Duration/8) != nil {
		return
	}
	organisation := d.Layout.Organisations[len(d.Layout.Organisations)-1].ID
	const key = "short-lived"
	verifier, err := authenticator.NewVerifier(key)
	if err != nil {
		return
	}
	grant := planner.Intent{ID: "grant-" + key, Author: "vesna", Kind: planner.IntentGrantKey, Target: key, Organisation: organisation, Verifier: verifier}
	if _, ok := d.applyIntent(ctx, grant); !ok {
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
	withdrawn, ok := d.applyIntent(ctx, planner.Intent{ID: "withdraw-" + key, Author: "vesna", Kind: planner.IntentWithdrawKey, Target: key})
	if !ok {
		return
	}
	last := withdrawn
	for time.Since(withdrawn) < keyWithdrawalLimit+time.Second {
		if _, err := conn.Exec(ctx, "SELECT 1"); err != nil {
			break
		}
		last = time.Now()
		if pauser.Sleep(ctx, 2*time.Millisecond) != nil {
			break
		}
	}
	d.recorder.Check(InvariantKeyStops, last.Sub(withdrawn) <= keyWithdrawalLimit, "a statement was accepted %s after the withdrawal", last.Sub(withdrawn))
	d.mu.Lock()
	d.keyLastAccepted = append(d.keyLastAccepted, milliseconds(last.Sub(withdrawn)))
	d.mu.Unlock()
	if d.waitForKey(ctx, key, true) {
		d.mu.Lock()
		d.inForce = append(d.inForce, milliseconds(time.Since(withdrawn)))
		d.mu.Unlock()
		d.recorder.Check(InvariantInForce, time.Since(withdrawn) <= keyWithdrawalLimit, "a configuration was in force after %s", time.Since(withdrawn))
	}
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// applyIntent submits an intent and confirms its plan as another operator. It
// returns the time at which the confirmation was committed.
func (d *Demo) applyIntent(ctx context.Context, i planner.Intent) (time.Time, bool) {
	if _, err := d.fleet.ProposeOperation(ctx, planner.Operation{Kind: planner.OperationIntent, Intent: &i}); err != nil {
		return time.Time{}, false
	}
	if _, err := d.fleet.ProposeOperation(ctx, planner.Operation{Kind: planner.OperationConfirm, PlanID: i.ID, Actor: "marko"}); err != nil {
		return time.Time{}, false
	}
	return time.Now(), true
}

// waitForKey waits until every entry host has applied the key's state.
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
		if pauser.Sleep(ctx, 5*time.Millisecond) != nil {
			return false
		}
	}
}
