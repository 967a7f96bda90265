package operator

import (
	"net/http"

	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/planner"
)

// Levels are the agreed service levels.
type Levels struct {
	Organisations map[string]configurer.Organisation `json:"organisations"`
	Objectives    map[string]configurer.Objective    `json:"objectives"`
}

// levels answers the organisations' rates and the objectives. Both maps are
// never changed once published.
func (h Handler) levels(w http.ResponseWriter, r *http.Request, _ string) {
	var l Levels
	err := h.Controller.Read(r.Context(), func(b *planner.Book) {
		l = Levels{Organisations: b.State.Organisations, Objectives: b.State.Objectives}
	})
	if err != nil {
		h.fail(w, r, err)
		return
	}
	answer(w, http.StatusOK, l)
}
