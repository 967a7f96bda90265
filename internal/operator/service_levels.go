package operator

import (
	"net/http"

	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/planner"
)

// ServiceLevels holds the configured service levels.
type ServiceLevels struct {
	Organisations map[string]configurer.Organisation `json:"organisations"`
	Objectives    map[string]configurer.Objective    `json:"objectives"`
}

// serviceLevels responds with the organisations' rates and the objectives. The
// maps may be encoded outside the control goroutine because they are never
// modified.
func (h Handler) serviceLevels(w http.ResponseWriter, r *http.Request, _ string) {
	var l ServiceLevels
	err := h.Controller.ReadState(r.Context(), func(m *planner.StateMachine) {
		l = ServiceLevels{Organisations: m.State.Organisations, Objectives: m.State.Objectives}
	})
	if err != nil {
		h.writeError(w, r, err)
		return
	}
	writeJSON(w, http.StatusOK, l)
}
