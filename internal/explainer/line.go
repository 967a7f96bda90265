package explainer

import (
	"bytes"
	"encoding/json"
	"time"
)

// Line is one event of a host's log.
type Line struct {
	At    time.Time
	Node  string
	Event int
	Name  string
	// Fields are the event's own fields.
	Fields map[string]any
}

// parseLine reads a line of a log. What stands before the event, as other
// programs put it there, is passed over; ok is false when there is no event.
func parseLine(raw []byte) (l Line, ok bool) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return l, false
	}
	fields := map[string]any{}
	if json.Unmarshal(raw[start:], &fields) != nil {
		return l, false
	}
	number, ok := fields["event"].(float64)
	if !ok {
		return l, false
	}
	l.Event, l.Fields = int(number), fields
	l.Name, _ = fields["msg"].(string)
	l.Node, _ = fields["node"].(string)
	text, _ := fields["ts"].(string)
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return l, false
	}
	l.At = at
	for _, own := range []string{"event", "msg", "node", "ts", "level"} {
		delete(fields, own)
	}
	return l, true
}

// text returns a field's text.
func (l Line) text(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}
