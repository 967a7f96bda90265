package emulator

// FaultPoint names a place at which a fault can strike a SQL connection.
type FaultPoint string

// The fault points.
const (
	// FaultAccept strikes a new connection.
	FaultAccept FaultPoint = "accept"
	// FaultStatement strikes before a statement runs.
	FaultStatement FaultPoint = "statement"
	// FaultDescribe strikes before a Describe is answered.
	FaultDescribe FaultPoint = "describe"
	// FaultRow strikes in the middle of an answer.
	FaultRow FaultPoint = "row"
	// FaultCommit strikes after a commit and before its answer.
	FaultCommit FaultPoint = "commit"
)

// FaultAction is what a fault does.
type FaultAction string

// The fault actions.
const (
	FaultNone FaultAction = ""
	// FaultClose ends the connection at once.
	FaultClose FaultAction = "close"
	// FaultStall leaves the connection open and silent until it is closed.
	FaultStall FaultAction = "stall"
)

// Faults decides which faults strike. The zero value strikes none.
type Faults struct {
	// Strike is asked at every fault point with the statement's text.
	Strike func(point FaultPoint, sql string) FaultAction
}

func (f Faults) strike(point FaultPoint, sql string) FaultAction {
	if f.Strike == nil {
		return FaultNone
	}
	return f.Strike(point, sql)
}
