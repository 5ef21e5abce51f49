// Package explain reconstructs what happened to one request from saved gateway logs: the
// log lines of the request itself, and the changes of its gateway's state around its
// end. trefoilctl calls it; it contacts no running process.
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"
)

// contextBefore is how long before the last line of a request state changes are shown.
const contextBefore = 3 * time.Second

// maxLine bounds the length of a log line, in bytes.
const maxLine = 1 << 20

// Line is one line of a log.
type Line struct {
	// Source is the file name, followed by the last word before the line's JSON if
	// there is one, such as the name of a gateway.
	Source  string         `json:"source"`
	At      time.Time      `json:"at"`
	Message string         `json:"what"`
	Fields  map[string]any `json:"fields"`
}

// RequestTrace holds all that the logs contain about one request.
type RequestTrace struct {
	Request string `json:"request"`
	// Parts holds one entry per gateway, in the order in which the caller sent the
	// request to them. The order comes from the caller's remaining wait, which shrinks
	// with each attempt, because the clocks of gateways may differ.
	Parts []GatewayTrace `json:"parts"`
	// Missing describes what the logs lack.
	Missing []string `json:"missing,omitempty"`
}

// GatewayTrace holds what one gateway logged about the request.
type GatewayTrace struct {
	Source string `json:"source"`
	// Lines are the lines of the request, in the order of the log.
	Lines []Line `json:"lines"`
	// StateChanges are changes of the gateway's state near the last line of the request.
	StateChanges []Line `json:"around"`
	// Missing describes what the log of this gateway lacks.
	Missing []string `json:"missing,omitempty"`
}

// stateChanges are the messages of log lines that report a change of a gateway's state
// or of its view of the fleet. duty_taken means that the gateway acquired the lease for
// changing the roles of engines.
var stateChanges = []string{
	"configuration_in_force", "zones_evacuated", "upstream_changed", "upstream_crashed", "registry_lost", "registry_back", "registry_history_gone",
	"peer_lost", "peer_back", "request_quarantined", "serving", "draining", "role_ordered", "duty_taken", "started", "shutting down",
}

// Run reads the log files and writes the trace of a request to out, as text or as
// JSON. A request that no line names is no error.
func Run(out io.Writer, request string, files []string, asJSON bool) error {
	var all []Line
	for _, name := range files {
		lines, err := readFile(name)
		if err != nil {
			return err
		}
		all = append(all, lines...)
	}
	trace := Collect(request, all)
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(trace)
	}
	return trace.print(out)
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

// Read parses the lines of a log. Lines without a JSON object, a message or a valid
// timestamp are skipped; a line over the size limit is an error.
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
		if eventTime, ok := fields["at"].(string); ok {
			// A line that was written later than its event carries the event's time.
			if t, err := time.Parse(time.RFC3339Nano, eventTime); err == nil {
				at = t
			}
		}
		for _, name := range []string{"at", "@message", "@timestamp", "@level", "@module"} {
			delete(fields, name)
		}
		out = append(out, Line{Source: strings.TrimSpace(source + " " + lastWord(string(before))), At: at, Message: what, Fields: fields})
	}
	return out, scanner.Err()
}

// lastWord returns the last word of text, or "". Before a line's JSON, it is the name
// of the process in a log that holds several.
func lastWord(text string) string {
	words := strings.Fields(text)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

// Collect collects the lines of a request, grouped by gateway.
func Collect(request string, all []Line) RequestTrace {
	s := RequestTrace{Request: request}
	for _, l := range all {
		if l.Fields["request"] != request {
			continue
		}
		at := slices.IndexFunc(s.Parts, func(p GatewayTrace) bool { return p.Source == l.Source })
		if at < 0 {
			at = len(s.Parts)
			s.Parts = append(s.Parts, GatewayTrace{Source: l.Source})
		}
		s.Parts[at].Lines = append(s.Parts[at].Lines, l)
	}
	if len(s.Parts) == 0 {
		s.Missing = append(s.Missing, "no line names the request: it reached none of these gateways, or lines were dropped")
	}
	for i := range s.Parts {
		s.Parts[i].surround(request, all)
	}
	slices.SortStableFunc(s.Parts, func(a, b GatewayTrace) int { return cmp.Compare(b.patience(), a.patience()) })
	return s
}

// patience returns how long the caller waits, in milliseconds, from the first line of
// the part that holds it; 0 if none does.
func (p *GatewayTrace) patience() float64 {
	for _, l := range p.Lines {
		if ms, ok := l.Fields["caller_waits_ms"].(float64); ok {
			return ms
		}
	}
	return 0
}

// surround adds the state changes that the gateway logged near the request's last line,
// and what its log lacks.
func (p *GatewayTrace) surround(request string, all []Line) {
	last := p.Lines[len(p.Lines)-1]
	ended := slices.ContainsFunc(p.Lines, func(l Line) bool { return l.Message == "request_ended" || l.Message == "request_refused" })
	var lastOfGateway Line
	for _, l := range all {
		if l.Source != p.Source {
			continue
		}
		if restarted := lastOfGateway.Message == "started" && lastOfGateway.At.After(last.At); !restarted {
			lastOfGateway = l
		}
		if l.Fields["request"] == request {
			continue
		}
		near := l.At.After(last.At.Add(-contextBefore)) && !l.At.After(last.At.Add(time.Second))
		switch {
		case near && slices.Contains(stateChanges, l.Message):
			p.StateChanges = append(p.StateChanges, l)
		case near && l.Message == "log_lines_dropped":
			p.Missing = append(p.Missing, fmt.Sprintf("%v lines of this gateway were dropped", l.Fields["count"]))
		}
	}
	if ended {
		return
	}
	// "its end" in these texts is the request's last line.
	after := lastOfGateway.At.Sub(last.At).Seconds()
	if lastOfGateway.Message == "started" && after > 0 {
		p.Missing = append(p.Missing, fmt.Sprintf("its end: the gateway was killed or frozen, and started anew %.3f s after the line above", after))
		return
	}
	p.Missing = append(p.Missing, fmt.Sprintf("its end: the gateway was killed or frozen, or lines were dropped; its log ends %.3f s after the line above", after))
}

// print writes a trace as text, with times relative to the first line of each part.
func (s RequestTrace) print(out io.Writer) error {
	var b strings.Builder
	for _, p := range s.Parts {
		fmt.Fprintf(&b, "request %s at %s\n", s.Request, p.Source)
		began := p.Lines[0].At
		for _, l := range p.Lines {
			fmt.Fprintf(&b, "%8.3f s  %s\n", l.At.Sub(began).Seconds(), l.text())
		}
		for _, m := range p.Missing {
			fmt.Fprintf(&b, "missing: %s\n", m)
		}
		if len(p.StateChanges) > 0 {
			b.WriteString("what its gateway came to believe around its end\n")
		}
		for _, l := range p.StateChanges {
			fmt.Fprintf(&b, "%8.3f s  %s\n", l.At.Sub(began).Seconds(), l.text())
		}
	}
	for _, m := range s.Missing {
		fmt.Fprintf(&b, "missing: %s\n", m)
	}
	_, err := io.WriteString(out, b.String())
	return err
}

// text returns the message and the fields of a line, sorted by name, without the
// request and empty fields.
func (l Line) text() string {
	names := make([]string, 0, len(l.Fields))
	for name, value := range l.Fields {
		if name != "request" && value != nil && value != "" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	text := l.Message
	for _, name := range names {
		text += fmt.Sprintf(" %s=%v", name, l.Fields[name])
	}
	return text
}
