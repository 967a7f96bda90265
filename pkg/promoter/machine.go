package promoter

import (
	"context"
	"fmt"

	"github.com/qmuntal/stateless"

	"github.com/shallotstage/shallotstage/pkg/configurer"
)

// trigger is an event that moves a group from one phase to another.
type trigger string

const (
	triggerFormed     trigger = "formed"
	triggerTermBegun  trigger = "term_begun"
	triggerChosen     trigger = "candidate_chosen"
	triggerPromoted   trigger = "candidate_promoted"
	triggerReadmitted trigger = "member_readmitted"
)

// next returns the phase that follows phase on t.
func next(phase configurer.Phase, t trigger) (configurer.Phase, error) {
	m := stateless.NewStateMachine(phase)
	m.Configure(configurer.PhaseForming).
		Permit(triggerFormed, configurer.PhaseServing)
	m.Configure(configurer.PhaseServing).
		PermitReentry(triggerReadmitted).
		Permit(triggerTermBegun, configurer.PhaseFenced)
	m.Configure(configurer.PhaseFenced).
		Permit(triggerChosen, configurer.PhasePromoting).
		PermitReentry(triggerTermBegun)
	m.Configure(configurer.PhasePromoting).
		Permit(triggerPromoted, configurer.PhaseServing).
		Permit(triggerTermBegun, configurer.PhaseFenced)
	if err := m.FireCtx(context.Background(), t); err != nil {
		return phase, fmt.Errorf("promoter: %w", err)
	}
	return m.MustState().(configurer.Phase), nil
}
