package connector

// RegionError is returned when a statement was not sent because it may not run in the
// region of the upstream.
type RegionError struct {
	Upstream string
}

// Error implements error.
func (e *RegionError) Error() string {
	return "connector: upstream " + e.Upstream + " is in a region that is not permitted"
}
