package launcher

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// routeExplanationPath is the path of the metrics listener that explains where a
// request would go.
const routeExplanationPath = "GET /route"

// explainRoute answers with the explanation for the route, organisation and write of
// the query.
func (e *EntryHost) explainRoute(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	write, err := strconv.ParseBool(query.Get("write"))
	if err != nil && query.Has("write") {
		http.Error(w, "write must be true or false", http.StatusBadRequest)
		return
	}
	explanation, err := e.server.ExplainRoute(query.Get("route"), query.Get("organisation"), write)
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	explanation.Host = e.Settings.Host
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(explanation)
}
