// Package explainer finds in the logs of several hosts what became of one
// request, and what the hosts believed at that time.
//
// # Usage
//
//	story, err := explainer.Explain("5c0e7a21d94b36f8", files...)
//	err = story.Write(os.Stdout)
//
// The logs are JSON lines as hosts write them; other text before the event of a
// line is passed over. Times of several hosts are put in order as they stand,
// so hosts' clocks must agree as well as the answer needs.
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
	// before is how long before a request's first event changes of belief are
	// told, after how long behind its last one.
	before = 15 * time.Second
	after  = 2 * time.Second
	// maxLineBytes bounds a line of a log.
	maxLineBytes = 4 << 20
)

// beliefs are the events that change what hosts believe.
var beliefs = map[int]bool{
	logger.EventStarted.Number: true, logger.EventDraining.Number: true, logger.EventStopped.Number: true,
	logger.EventUpstreamSuspect.Number: true, logger.EventUpstreamBack.Number: true,
	logger.EventControlConnected.Number: true, logger.EventControlLost.Number: true,
	logger.EventConfigurationTaken.Number: true, logger.EventTopologyTaken.Number: true,
	logger.EventOwnerLost.Number: true, logger.EventTermStarted.Number: true, logger.EventPromotionDone.Number: true,
	logger.EventPromotionOrdered.Number: true, logger.EventPromotionAnswered.Number: true, logger.EventMembersChanged.Number: true,
	logger.EventCommandApplied.Number: true, logger.EventControlFailed.Number: true, logger.EventLinesDropped.Number: true,
}

// Story is what the logs tell of a request, in order of time.
type Story struct {
	Request string
	// Touched are the events that name the request.
	Touched []Line
	// Beliefs are the changes of belief on the hosts and upstreams that the
	// request touched.
	Beliefs []Line
}

// NotFoundError means that no line names the request: it succeeded, its lines
// were dropped, or the logs are of other hosts or times.
type NotFoundError struct {
	Request string
	Lines   int
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("explainer: none of %d lines names request %s: it was served (event 1110 is written at the level debug), its line was dropped (see event 1006), or another host took it", e.Lines, e.Request)
}

// Explain reads logs and returns the story of a request.
func Explain(request string, logs ...io.Reader) (Story, error) {
	s := Story{Request: request}
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
				s.Touched = append(s.Touched, l)
			}
			all = append(all, l)
		}
		if err := scanner.Err(); err != nil {
			return s, fmt.Errorf("explainer: read log: %w", err)
		}
	}
	if len(s.Touched) == 0 {
		return s, &NotFoundError{Request: request, Lines: len(all)}
	}
	sortLines(s.Touched)
	s.Beliefs = s.relevant(all)
	return s, nil
}

func sortLines(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].At.Before(lines[j].At) })
}

// relevant returns the changes of belief that may have decided.
func (s Story) relevant(all []Line) []Line {
	nodes, subjects := map[string]bool{}, map[string]bool{}
	for _, l := range s.Touched {
		nodes[l.Node] = true
		for _, field := range []string{"upstream", "service"} {
			if name := l.text(field); name != "" {
				subjects[name] = true
			}
		}
	}
	from, to := s.Touched[0].At.Add(-before), s.Touched[len(s.Touched)-1].At.Add(after)
	var found []Line
	for _, l := range all {
		if !beliefs[l.Event] || l.At.Before(from) || l.At.After(to) || l.text("request") != "" {
			continue
		}
		if nodes[l.Node] || names(l, subjects) {
			found = append(found, l)
		}
	}
	sortLines(found)
	return slices.CompactFunc(found, func(a, b Line) bool { return a.Node == b.Node && a.At.Equal(b.At) && a.Event == b.Event })
}

// names reports whether an event is about one of the subjects.
func names(l Line, subjects map[string]bool) bool {
	for _, field := range []string{"upstream", "service", "candidate", "primary"} {
		if subjects[l.text(field)] {
			return true
		}
	}
	return false
}

// Write prints the story for the person on call.
func (s Story) Write(w io.Writer) error {
	var out strings.Builder
	fmt.Fprintf(&out, "request %s\n\nwhat hosts came to believe meanwhile (%s before to %s after)\n", s.Request, before, after)
	begin := s.Touched[0].At
	for _, l := range s.Beliefs {
		writeLine(&out, l, begin)
	}
	out.WriteString("\nwhat touched the request\n")
	for _, l := range s.Touched {
		writeLine(&out, l, begin)
	}
	last := s.Touched[len(s.Touched)-1]
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

func writeLine(out *strings.Builder, l Line, begin time.Time) {
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
	fmt.Fprintf(out, "  %+10.3fs  %-22s %4d %s  %s\n", l.At.Sub(begin).Seconds(), l.Node, l.Event, l.Name, strings.Join(fields, " "))
}
