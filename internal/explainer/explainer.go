// Package explainer reconstructs the history of a request from the logs of
// several hosts, with the changes of those hosts' state at that time.
//
// # Usage
//
//	trace, err := explainer.Explain("5c0e7a21d94b36f8", files...)
//	err = trace.Write(os.Stdout)
//
// The logs are JSON lines as hosts write them; text before the JSON object of a
// line is ignored. Lines of several hosts are sorted by their timestamps, so the
// order is only as accurate as the synchronisation of the hosts' clocks.
package explainer

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/shallotstage/shallotstage/internal/logger"
)

const (
	// State changes are included from contextBefore before the request's first
	// event until contextAfter after its last one.
	contextBefore = 15 * time.Second
	contextAfter  = 2 * time.Second
	// maxLineBytes limits the length of a log line.
	maxLineBytes = 4 << 20
)

// stateEvents are the events that change a host's view of the fleet.
var stateEvents = map[int]bool{
	logger.EventStarted.Number: true, logger.EventDraining.Number: true, logger.EventStopped.Number: true,
	logger.EventUpstreamSuspect.Number: true, logger.EventUpstreamRecovered.Number: true,
	logger.EventControlConnected.Number: true, logger.EventControlLost.Number: true,
	logger.EventConfigurationApplied.Number: true, logger.EventTopologyUpdated.Number: true,
	logger.EventOwnerLost.Number: true, logger.EventTermStarted.Number: true, logger.EventPromotionDone.Number: true,
	logger.EventPromotionOrdered.Number: true, logger.EventPromotionAnswered.Number: true, logger.EventControlMembersChanged.Number: true,
	logger.EventCommandApplied.Number: true, logger.EventControlStateNotStored.Number: true, logger.EventLogLinesDropped.Number: true,
	logger.EventDataCentreEvacuated.Number: true, logger.EventEvacuationChanged.Number: true,
}

// Trace is the history of a request, sorted by time.
type Trace struct {
	Request string
	// RequestEvents are the events that carry the request's id.
	RequestEvents []Line
	// StateChanges are the state changes of the hosts, upstreams and services
	// that were involved in the request.
	StateChanges []Line
}

// NotFoundError means that no line contains the request's id: the request
// succeeded, its lines were dropped, or the logs cover other hosts or times.
type NotFoundError struct {
	Request string
	Lines   int
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("explainer: none of %d log lines contains request %s: it was served (event 1110 is written only at level debug), its line was dropped (see event 1006), or another host handled it", e.Lines, e.Request)
}

// Explain reads logs and returns the history of a request.
func Explain(request string, logs ...io.Reader) (Trace, error) {
	s := Trace{Request: request}
	var all []Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			l, ok := parseLine(scanner.Bytes())
			if !ok {
				continue
			}
			if l.text("request") == request {
				s.RequestEvents = append(s.RequestEvents, l)
			}
			all = append(all, l)
		}
		if err := scanner.Err(); err != nil {
			return s, fmt.Errorf("explainer: read log: %w", err)
		}
	}
	if len(s.RequestEvents) == 0 {
		return s, &NotFoundError{Request: request, Lines: len(all)}
	}
	sortLines(s.RequestEvents)
	s.StateChanges = s.findStateChanges(all)
	return s, nil
}

func sortLines(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].At.Before(lines[j].At) })
}

// findStateChanges returns the state changes that may have influenced the
// request.
func (t Trace) findStateChanges(all []Line) []Line {
	hosts, subjects := map[string]bool{}, map[string]bool{}
	for _, l := range t.RequestEvents {
		hosts[l.Node] = true
		for _, field := range []string{"upstream", "service"} {
			if name := l.text(field); name != "" {
				subjects[name] = true
			}
		}
	}
	from, to := t.RequestEvents[0].At.Add(-contextBefore), t.RequestEvents[len(t.RequestEvents)-1].At.Add(contextAfter)
	var found []Line
	for _, l := range all {
		if !stateEvents[l.Event] || l.At.Before(from) || l.At.After(to) || l.text("request") != "" {
			continue
		}
		if hosts[l.Node] || refersTo(l, subjects) {
			found = append(found, l)
		}
	}
	sortLines(found)
	return slices.CompactFunc(found, func(a, b Line) bool { return a.Node == b.Node && a.At.Equal(b.At) && a.Event == b.Event })
}

// refersTo reports whether an event is about one of the subjects.
func refersTo(l Line, subjects map[string]bool) bool {
	for _, field := range []string{"upstream", "service", "candidate", "primary"} {
		if subjects[l.text(field)] {
			return true
		}
	}
	return false
}

// Write prints the history as text for an operator.
func (t Trace) Write(w io.Writer) error {
	var out strings.Builder
	fmt.Fprintf(&out, "request %s\n\nstate changes of the hosts, upstreams and services involved (%s before to %s after)\n", t.Request, contextBefore, contextAfter)
	start := t.RequestEvents[0].At
	for _, l := range t.StateChanges {
		writeLine(&out, l, start)
	}
	out.WriteString("\nevents of the request\n")
	for _, l := range t.RequestEvents {
		writeLine(&out, l, start)
	}
	last := t.RequestEvents[len(t.RequestEvents)-1]
	fmt.Fprintf(&out, "\noutcome: %s", last.Name)
	for _, field := range []string{"reason", "verdict", "upstream", "cause"} {
		if v := last.text(field); v != "" {
			fmt.Fprintf(&out, "\n  %s: %s", field, v)
		}
	}
	out.WriteString("\n")
	_, err := io.WriteString(w, out.String())
	return err
}

func writeLine(out *strings.Builder, l Line, start time.Time) {
	fields := make([]string, 0, len(l.Fields))
	for name, v := range l.Fields {
		if name == "request" {
			continue
		}
		text, ok := v.(string)
		if !ok {
			body, err := json.Marshal(v)
			if err != nil {
				body = fmt.Append(nil, v)
			}
			text = string(body)
		}
		fields = append(fields, name+"="+text)
	}
	sort.Strings(fields)
	fmt.Fprintf(out, "  %+10.3fs  %-22s %4d %s  %s\n", l.At.Sub(start).Seconds(), l.Node, l.Event, l.Name, strings.Join(fields, " "))
}
