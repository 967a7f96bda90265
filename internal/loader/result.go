package loader

// Quantiles are latencies in milliseconds, measured from the scheduled time of a
// request.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// SecondStats holds the outcomes and latencies of the requests that were
// scheduled in one second of a run. Offset is that second, counted from the start
// of the run.
type SecondStats struct {
	Offset   int     `json:"at_s"`
	Served   int     `json:"served"`
	Refused  int     `json:"refused"`
	Unknown  int     `json:"unknown"`
	MaxMS    float64 `json:"max_ms"`
	MedianMS float64 `json:"median_ms"`
}

// Result holds the measurements of a run.
type Result struct {
	Name    string    `json:"name"`
	Profile Profile   `json:"profile"`
	Reads   Quantiles `json:"reads"`
	Writes  Quantiles `json:"writes"`
	Refused int       `json:"refused"`
	Unknown int       `json:"unknown"`
	// StaleReads counts reads that did not return an acknowledged write of their
	// caller.
	StaleReads int `json:"stale"`
	// DuplicateWrites counts reads that returned more writes than their caller
	// had sent, so that at least one write was executed twice.
	DuplicateWrites int            `json:"doubled"`
	ErrorCounts     map[string]int `json:"codes"`
	Seconds         []SecondStats  `json:"seconds"`
}
