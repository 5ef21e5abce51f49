// Package explain reads the saved logs of gateways and tells what happened to one
// request: its own lines, and what its gateway believed around them.
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
	// Parts are what each gateway did with it, in the order in which its caller
	// sent it: each time the caller has less time left. Clocks may differ.
	Parts []Part `json:"parts"`
	// Missing says what the logs do not tell.
	Missing []string `json:"missing,omitempty"`
}

// Part is what one gateway did.
type Part struct {
	Source string `json:"source"`
	// Lines are the request's own, in the order in which they were decided.
	Lines []Line `json:"lines"`
	// Around are changes of what the gateway believed shortly before the end.
	Around []Line `json:"around"`
	// Missing says what its log does not tell.
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
		if held, ok := fields["at"].(string); ok {
			// A line that was held back carries the time of its decision.
			if then, err := time.Parse(time.RFC3339Nano, held); err == nil {
				at = then
			}
		}
		for _, own := range []string{"at", "@message", "@timestamp", "@level", "@module"} {
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

// Tell picks out what concerns a request.
func Tell(request string, all []Line) Story {
	s := Story{Request: request}
	for _, l := range all {
		if l.Fields["request"] != request {
			continue
		}
		at := slices.IndexFunc(s.Parts, func(p Part) bool { return p.Source == l.Source })
		if at < 0 {
			at = len(s.Parts)
			s.Parts = append(s.Parts, Part{Source: l.Source})
		}
		s.Parts[at].Lines = append(s.Parts[at].Lines, l)
	}
	if len(s.Parts) == 0 {
		s.Missing = append(s.Missing, "no line names the request: it reached none of these gateways, or lines were dropped")
	}
	for i := range s.Parts {
		s.Parts[i].surround(request, all)
	}
	slices.SortStableFunc(s.Parts, func(a, b Part) int { return cmp.Compare(b.patience(), a.patience()) })
	return s
}

// patience is how long the caller waits, as the part's first line with it says.
func (p *Part) patience() float64 {
	for _, l := range p.Lines {
		if ms, ok := l.Fields["caller_waits_ms"].(float64); ok {
			return ms
		}
	}
	return 0
}

// surround adds what else the gateway logged around the end.
func (p *Part) surround(request string, all []Line) {
	last := p.Lines[len(p.Lines)-1]
	ended := slices.ContainsFunc(p.Lines, func(l Line) bool { return l.What == "request_ended" || l.What == "request_refused" })
	var final Line
	for _, l := range all {
		if l.Source != p.Source {
			continue
		}
		if restarted := final.What == "started" && final.At.After(last.At); !restarted {
			final = l
		}
		if l.Fields["request"] == request {
			continue
		}
		near := l.At.After(last.At.Add(-contextBefore)) && !l.At.After(last.At.Add(time.Second))
		switch {
		case near && slices.Contains(beliefs, l.What):
			p.Around = append(p.Around, l)
		case near && l.What == "log_lines_dropped":
			p.Missing = append(p.Missing, fmt.Sprintf("%v lines of this gateway were dropped", l.Fields["count"]))
		}
	}
	if ended {
		return
	}
	after := final.At.Sub(last.At).Seconds()
	if final.What == "started" && after > 0 {
		p.Missing = append(p.Missing, fmt.Sprintf("its end: the gateway was killed or frozen, and started anew %.3f s after the line above", after))
		return
	}
	p.Missing = append(p.Missing, fmt.Sprintf("its end: the gateway was killed or frozen, or lines were dropped; its log ends %.3f s after the line above", after))
}

// print writes a story for people.
func (s Story) print(out io.Writer) error {
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
		if len(p.Around) > 0 {
			b.WriteString("what its gateway came to believe around its end\n")
		}
		for _, l := range p.Around {
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
