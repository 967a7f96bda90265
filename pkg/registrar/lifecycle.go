// Package registrar tracks the lifecycle state of each upstream from its first
// announcement to its removal.
//
// # Usage
//
//	r := &registrar.Registrar{SuspectAfter: 3 * time.Second, GoneAfter: time.Minute}
//	r.Announce(announcement, now)
//	r.ExpireSilent(now)
//	upstreams := r.Upstreams()
//
// A Registrar is not safe for concurrent use.
package registrar

import (
	"context"
	"fmt"

	"github.com/qmuntal/stateless"

	"github.com/shallotstage/shallotstage/pkg/configurer"
)

// Trigger is an event that changes the lifecycle state of an upstream.
type Trigger string

// The triggers.
const (
	TriggerAnnounced Trigger = "announced"
	TriggerAccepted  Trigger = "accepted"
	TriggerTimedOut  Trigger = "silent"
	TriggerDrain     Trigger = "drain"
	TriggerReturn    Trigger = "return"
	TriggerRemoved   Trigger = "forgotten"
)

// NextState returns the lifecycle state that follows state on t, or an error if
// state does not allow t.
func NextState(state configurer.Lifecycle, t Trigger) (configurer.Lifecycle, error) {
	m := stateless.NewStateMachine(state)
	m.Configure(configurer.LifecycleAnnounced).
		PermitReentry(TriggerAnnounced).
		Permit(TriggerAccepted, configurer.LifecycleServing).
		Permit(TriggerRemoved, configurer.LifecycleGone)
	m.Configure(configurer.LifecycleServing).
		PermitReentry(TriggerAnnounced).
		Permit(TriggerTimedOut, configurer.LifecycleSuspected).
		Permit(TriggerDrain, configurer.LifecycleDraining)
	m.Configure(configurer.LifecycleSuspected).
		Permit(TriggerAnnounced, configurer.LifecycleServing).
		Permit(TriggerDrain, configurer.LifecycleDraining).
		Permit(TriggerRemoved, configurer.LifecycleGone)
	m.Configure(configurer.LifecycleDraining).
		PermitReentry(TriggerAnnounced).
		Permit(TriggerReturn, configurer.LifecycleServing).
		Permit(TriggerRemoved, configurer.LifecycleGone)
	m.Configure(configurer.LifecycleGone).
		Permit(TriggerAnnounced, configurer.LifecycleAnnounced)
	if err := m.FireCtx(context.Background(), t); err != nil {
		return state, fmt.Errorf("registrar: %w", err)
	}
	return m.MustState().(configurer.Lifecycle), nil
}
