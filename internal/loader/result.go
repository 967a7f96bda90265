package loader

// Quantiles are latencies in milliseconds, counted from when a request was due.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// Second is one second of a run.
type Second struct {
	At       int     `json:"at_s"`
	Served   int     `json:"served"`
	Refused  int     `json:"refused"`
	Unknown  int     `json:"unknown"`
	MaxMS    float64 `json:"max_ms"`
	MedianMS float64 `json:"median_ms"`
}

// Result is what a load run saw.
type Result struct {
	Name    string    `json:"name"`
	Profile Profile   `json:"profile"`
	Reads   Quantiles `json:"reads"`
	Writes  Quantiles `json:"writes"`
	Refused int       `json:"refused"`
	Unknown int       `json:"unknown"`
	// Stale counts reads that missed an acknowledged write of their caller.
	Stale int `json:"stale"`
	// Doubled counts callers whose row holds more than they sent.
	Doubled int            `json:"doubled"`
	Codes   map[string]int `json:"codes"`
	Seconds []Second       `json:"seconds"`
}
