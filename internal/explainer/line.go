package explainer

import (
	"bytes"
	"encoding/json"
	"time"
)

// Line is one event in a host's log.
type Line struct {
	At    time.Time
	Node  string
	Event int
	Name  string
	// Fields are the remaining fields of the event.
	Fields map[string]any
}

// parseLine parses a log line. It ignores text before the JSON object, such as a
// prefix that another program added; ok is false when the line has no event.
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
	for _, key := range []string{"event", "msg", "node", "ts", "level"} {
		delete(fields, key)
	}
	return l, true
}

// text returns the value of a string field, or an empty string.
func (l Line) text(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}
