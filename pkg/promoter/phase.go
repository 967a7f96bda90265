package promoter

import (
	"context"
	"fmt"

	"github.com/qmuntal/stateless"

	"github.com/shallotstage/shallotstage/pkg/configurer"
)

// trigger is an event that changes the phase of a group.
type trigger string

const (
	triggerGroupFormed       trigger = "formed"
	triggerTermStarted       trigger = "term_begun"
	triggerCandidateChosen   trigger = "candidate_chosen"
	triggerCandidatePromoted trigger = "candidate_promoted"
	triggerMemberReadmitted  trigger = "member_readmitted"
)

// nextPhase returns the phase that follows phase on t.
func nextPhase(phase configurer.Phase, t trigger) (configurer.Phase, error) {
	m := stateless.NewStateMachine(phase)
	m.Configure(configurer.PhaseForming).
		Permit(triggerGroupFormed, configurer.PhaseServing)
	m.Configure(configurer.PhaseServing).
		PermitReentry(triggerMemberReadmitted).
		Permit(triggerTermStarted, configurer.PhaseFenced)
	m.Configure(configurer.PhaseFenced).
		Permit(triggerCandidateChosen, configurer.PhasePromoting).
		PermitReentry(triggerTermStarted)
	m.Configure(configurer.PhasePromoting).
		Permit(triggerCandidatePromoted, configurer.PhaseServing).
		Permit(triggerTermStarted, configurer.PhaseFenced)
	if err := m.FireCtx(context.Background(), t); err != nil {
		return phase, fmt.Errorf("promoter: %w", err)
	}
	return m.MustState().(configurer.Phase), nil
}
