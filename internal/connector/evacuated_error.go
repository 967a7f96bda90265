package connector

// EvacuatedError is returned when a caller's statement was not sent because the data
// centre of the upstream is evacuated.
type EvacuatedError struct {
	Upstream string
}

// Error implements error.
func (e *EvacuatedError) Error() string {
	return "connector: the data centre of upstream " + e.Upstream + " is evacuated"
}
