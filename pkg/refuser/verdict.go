package refuser

// Verdict states whether a refused request may have taken effect.
type Verdict string

// The verdicts, in order of increasing uncertainty.
const (
	// NotRun means that the request has had no effect and cannot have one later.
	NotRun Verdict = "not_run"
	// Ran means that the request took effect although an error is reported.
	Ran Verdict = "ran"
	// MayHaveRun means that the proxy does not know whether the request took
	// effect.
	MayHaveRun Verdict = "may_have_run"
)
