package operator

import (
	"net/http"
	"strconv"

	"github.com/shallotstage/shallotstage/pkg/planner"
)

// record responds with the newest records, with all records of one subject for
// the parameter "explain", or with the records of an archived page for "page".
func (h Handler) record(w http.ResponseWriter, r *http.Request, _ string) {
	if text := r.URL.Query().Get("page"); text != "" {
		h.archivedRecords(w, r, text)
		return
	}
	subject := r.URL.Query().Get("explain")
	recent := []planner.Record{}
	err := h.Controller.ReadState(r.Context(), func(m *planner.StateMachine) {
		if subject != "" {
			recent = append(recent, m.RecordsFor(subject)...)
			return
		}
		recent = append(recent, m.Records...)
	})
	if err != nil {
		h.writeError(w, r, err)
		return
	}
	if subject == "" {
		writeJSON(w, http.StatusOK, recent)
		return
	}
	old, err := h.Controller.ArchivedRecords(subject)
	if err != nil {
		h.writeError(w, r, err)
		return
	}
	writeJSON(w, http.StatusOK, mergeRecords(old, recent))
}

// mergeRecords appends recent to old without the records that were archived
// between the two reads and are thus in both.
func mergeRecords(old, recent []planner.Record) []planner.Record {
	for len(old) > 0 && len(recent) > 0 && recent[0].Index <= old[len(old)-1].Index {
		recent = recent[1:]
	}
	return append(old, recent...)
}

func (h Handler) archivedRecords(w http.ResponseWriter, r *http.Request, text string) {
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, ErrorResponse{Error: "page must be a number", Verdict: "not_run"})
		return
	}
	records, err := h.Controller.ArchivedPageRecords(number)
	switch {
	case err != nil:
		h.writeError(w, r, err)
	case records == nil:
		writeJSON(w, http.StatusNotFound, ErrorResponse{Error: "no such page", Verdict: "not_run"})
	default:
		writeJSON(w, http.StatusOK, records)
	}
}
