package planner

// RecordKind identifies the event that a Record describes.
type RecordKind string

// The kinds of records.
const (
	RecordIntent     RecordKind = "intent"
	RecordComment    RecordKind = "comment"
	RecordConfirmed  RecordKind = "confirmed"
	RecordRejected   RecordKind = "rejected"
	RecordSuperseded RecordKind = "superseded"
	RecordInForce    RecordKind = "in_force"
	// RecordFleetChange is a change that the fleet made automatically.
	RecordFleetChange RecordKind = "fleet"
)

// FilterRecords returns the records of one subject in order.
func FilterRecords(records []Record, subject string) []Record {
	var matching []Record
	for _, r := range records {
		if r.Subject == subject {
			matching = append(matching, r)
		}
	}
	return matching
}

// Record is one entry of the append-only audit record.
type Record struct {
	Index uint64     `json:"index"`
	At    string     `json:"at"`
	Kind  RecordKind `json:"kind"`
	// Subject is the intent id of a plan or the id of a group, upstream or host.
	Subject string `json:"subject"`
	Actor   string `json:"actor"`
	Text    string `json:"text"`
	// Version is the configuration version that the operation produced, or zero.
	Version uint64 `json:"version,omitempty"`
}
