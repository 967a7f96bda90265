package operator

import (
	"net/http"
	"strconv"

	"github.com/shallotstage/shallotstage/pkg/planner"
)

// record answers the newest records; with "explain" all records of one subject,
// with "page" those of one old page.
func (h Handler) record(w http.ResponseWriter, r *http.Request, _ string) {
	if text := r.URL.Query().Get("page"); text != "" {
		h.recordPage(w, r, text)
		return
	}
	subject := r.URL.Query().Get("explain")
	recent := []planner.Record{}
	err := h.Controller.Read(r.Context(), func(b *planner.Book) {
		if subject != "" {
			recent = append(recent, b.Explain(subject)...)
			return
		}
		recent = append(recent, b.Records...)
	})
	if err != nil {
		h.fail(w, r, err)
		return
	}
	if subject == "" {
		answer(w, http.StatusOK, recent)
		return
	}
	old, err := h.Controller.OldRecords(subject)
	if err != nil {
		h.fail(w, r, err)
		return
	}
	answer(w, http.StatusOK, join(old, recent))
}

// join appends recent to old without the records that a page was made of in
// between.
func join(old, recent []planner.Record) []planner.Record {
	for len(old) > 0 && len(recent) > 0 && recent[0].Index <= old[len(old)-1].Index {
		recent = recent[1:]
	}
	return append(old, recent...)
}

func (h Handler) recordPage(w http.ResponseWriter, r *http.Request, text string) {
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		answer(w, http.StatusBadRequest, ErrorAnswer{Error: "page must be a number", Verdict: "not_run"})
		return
	}
	records, err := h.Controller.OldPage(number)
	switch {
	case err != nil:
		h.fail(w, r, err)
	case records == nil:
		answer(w, http.StatusNotFound, ErrorAnswer{Error: "no such page", Verdict: "not_run"})
	default:
		answer(w, http.StatusOK, records)
	}
}
