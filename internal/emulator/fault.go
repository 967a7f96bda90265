package emulator

// FaultPoint is a point in the life of a SQL connection at which a fault can be
// injected.
type FaultPoint string

// The fault points.
const (
	// FaultAccept is when a connection has been accepted.
	FaultAccept FaultPoint = "accept"
	// FaultStatement is before a statement is executed.
	FaultStatement FaultPoint = "statement"
	// FaultDescribe is before the response to a Describe of a statement.
	FaultDescribe FaultPoint = "describe"
	// FaultRow is after some of a result's rows have been flushed.
	FaultRow FaultPoint = "row"
	// FaultCommit is after a commit and before its response.
	FaultCommit FaultPoint = "commit"
)

// FaultAction is the effect of a fault.
type FaultAction string

// The fault actions.
const (
	FaultNone FaultAction = ""
	// FaultClose closes the connection immediately.
	FaultClose FaultAction = "close"
	// FaultStall keeps the connection open without responding until it is closed.
	FaultStall FaultAction = "stall"
)

// FaultInjector decides which faults are injected. The zero value injects none.
type FaultInjector struct {
	// ActionAt is called at every fault point with the statement's text, which is
	// empty where there is none.
	ActionAt func(point FaultPoint, sql string) FaultAction
}

func (f FaultInjector) actionAt(point FaultPoint, sql string) FaultAction {
	if f.ActionAt == nil {
		return FaultNone
	}
	return f.ActionAt(point, sql)
}
