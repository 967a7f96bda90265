package refuser

// Verdict says whether a refused request may have taken effect.
type Verdict string

// The verdicts, in rising order of doubt.
const (
	// NotRun means that no effect of the request exists or can appear later.
	NotRun Verdict = "not_run"
	// Ran means that the request took effect although an error is reported.
	Ran Verdict = "ran"
	// MayHaveRun means that the proxy cannot tell.
	MayHaveRun Verdict = "may_have_run"
)
