package planner

// RecordKind names what a record entry tells of.
type RecordKind string

// The kinds of record entries.
const (
	RecordIntent     RecordKind = "intent"
	RecordComment    RecordKind = "comment"
	RecordConfirmed  RecordKind = "confirmed"
	RecordRejected   RecordKind = "rejected"
	RecordSuperseded RecordKind = "superseded"
	RecordInForce    RecordKind = "in_force"
	// RecordFleet tells of something the fleet did by itself.
	RecordFleet RecordKind = "fleet"
)

// RecordsOf returns the records of one subject in order.
func RecordsOf(records []Record, subject string) []Record {
	var story []Record
	for _, r := range records {
		if r.Subject == subject {
			story = append(story, r)
		}
	}
	return story
}

// Record is one entry of the append-only record.
type Record struct {
	Index uint64     `json:"index"`
	At    string     `json:"at"`
	Kind  RecordKind `json:"kind"`
	// Subject is the plan's intent id, or the group, upstream or host.
	Subject string `json:"subject"`
	Actor   string `json:"actor"`
	Text    string `json:"text"`
	// Version is the configuration version that the entry led to, or zero.
	Version uint64 `json:"version,omitempty"`
}
