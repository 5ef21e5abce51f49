// Package explain reads the saved logs of gateways and tells what happened to one
// request: its own lines, and what its gateway believed around them.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"
)

// contextBefore is how long before a request's end changes of belief are shown.
const contextBefore = 3 * time.Second

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

// Line is one line of a log.
type Line struct {
	// Source is the file, and what stood before the line's JSON, such as the
	// name of a gateway.
	Source string         `json:"source"`
	At     time.Time      `json:"at"`
	What   string         `json:"what"`
	Fields map[string]any `json:"fields"`
}

// Story is what is known of one request.
type Story struct {
	Request string `json:"request"`
	// Lines are the request's own, in the order in which they were written.
	Lines []Line `json:"lines"`
	// Around are changes of what its gateway believed shortly before its end.
	Around []Line `json:"around"`
	// Missing says what the logs do not tell.
	Missing []string `json:"missing,omitempty"`
}

// beliefs are the lines that change what a gateway believes.
var beliefs = []string{
	"configuration_in_force", "upstream_changed", "upstream_crashed", "registry_lost", "registry_back", "registry_history_gone",
	"peer_lost", "peer_back", "request_quarantined", "serving", "draining", "role_ordered", "duty_taken", "started", "shutting down",
}

// Run is the command: it explains a request from files.
func Run(out io.Writer, request string, files []string, asJSON bool) error {
	var all []Line
	for _, name := range files {
		lines, err := readFile(name)
		if err != nil {
			return err
		}
		all = append(all, lines...)
	}
	story := Tell(request, all)
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(story)
	}
	return story.print(out)
}

func readFile(name string) ([]Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("explain: %w", err)
	}
	defer func() { _ = file.Close() }()
	lines, err := Read(name, file)
	if err != nil {
		return nil, fmt.Errorf("explain: %s: %w", name, err)
	}
	return lines, nil
}

// Read reads the lines of a log. Text that is no JSON line is left out.
func Read(source string, r io.Reader) ([]Line, error) {
	var out []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		before, text, ok := bytes.Cut(scanner.Bytes(), []byte("{"))
		if !ok {
			continue
		}
		var fields map[string]any
		if err := json.Unmarshal(append([]byte("{"), text...), &fields); err != nil {
			continue
		}
		what, _ := fields["@message"].(string)
		stamp, _ := fields["@timestamp"].(string)
		at, err := time.Parse(time.RFC3339Nano, stamp)
		if what == "" || err != nil {
			continue
		}
		for _, own := range []string{"@message", "@timestamp", "@level", "@module"} {
			delete(fields, own)
		}
		out = append(out, Line{Source: strings.TrimSpace(source + " " + lastWord(string(before))), At: at, What: what, Fields: fields})
	}
	return out, scanner.Err()
}

// lastWord gives the last word of what stands before a line, such as the name of
// the process in a log that holds many.
func lastWord(text string) string {
	words := strings.Fields(text)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

// Tell picks out what concerns a request. Lines of one source keep their order:
// clocks of different machines may differ.
func Tell(request string, all []Line) Story {
	s := Story{Request: request}
	for _, l := range all {
		if l.Fields["request"] == request {
			s.Lines = append(s.Lines, l)
		}
	}
	if len(s.Lines) == 0 {
		s.Missing = append(s.Missing, "no line names the request: it reached none of these gateways, or lines were dropped")
		return s
	}
	last := s.Lines[len(s.Lines)-1]
	if last.What != "request_ended" && last.What != "request_refused" {
		s.Missing = append(s.Missing, "its end was not logged: the gateway was killed, or lines were dropped")
	}
	for _, l := range all {
		if l.Source != last.Source || l.Fields["request"] == request {
			continue
		}
		near := l.At.After(last.At.Add(-contextBefore)) && !l.At.After(last.At.Add(time.Second))
		switch {
		case near && slices.Contains(beliefs, l.What):
			s.Around = append(s.Around, l)
		case near && l.What == "log_lines_dropped":
			s.Missing = append(s.Missing, fmt.Sprintf("%v lines of this gateway were dropped", l.Fields["count"]))
		}
	}
	return s
}

// print writes a story for people.
func (s Story) print(out io.Writer) error {
	var b strings.Builder
	if len(s.Lines) > 0 {
		fmt.Fprintf(&b, "request %s at %s\n", s.Request, s.Lines[0].Source)
		began := s.Lines[0].At
		for _, l := range s.Lines {
			fmt.Fprintf(&b, "%8.3f s  %s\n", l.At.Sub(began).Seconds(), l.text())
		}
		if len(s.Around) > 0 {
			b.WriteString("what its gateway came to believe around its end\n")
		}
		for _, l := range s.Around {
			fmt.Fprintf(&b, "%8.3f s  %s\n", l.At.Sub(began).Seconds(), l.text())
		}
	}
	for _, m := range s.Missing {
		fmt.Fprintf(&b, "missing: %s\n", m)
	}
	_, err := io.WriteString(out, b.String())
	return err
}

// text is a line's decision and its inputs.
func (l Line) text() string {
	names := make([]string, 0, len(l.Fields))
	for name, value := range l.Fields {
		if name != "request" && value != nil && value != "" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	text := l.What
	for _, name := range names {
		text += fmt.Sprintf(" %s=%v", name, l.Fields[name])
	}
	return text
}
