// Package explain finds the story of one request in the logs of several VMs.
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"cicadaslip/internal/errs"
)

// maxLine bounds one line of a log.
const maxLine = 1 << 20

// Line is one line of a log.
type Line struct {
	VM     string         `json:"vm"`
	Time   time.Time      `json:"time"`
	Event  string         `json:"event"`
	Stamp  string         `json:"stamp"`
	Fields map[string]any `json:"fields"`
}

// Story is what the logs tell of a request.
type Story struct {
	Request string   `json:"request"`
	Lines   []Line   `json:"lines"`   // about the request, in causal order
	Around  []Line   `json:"around"`  // changes of what the VMs involved believed meanwhile
	Missing []string `json:"missing"` // what the logs should tell and do not
}

// Window limits the lines by their time. Zero ends are open.
type Window struct{ Since, Until time.Time }

func (w Window) holds(t time.Time) bool {
	return (w.Since.IsZero() || !t.Before(w.Since)) && (w.Until.IsZero() || !t.After(w.Until))
}

// beliefs are the events that change what a VM believes.
var beliefs = map[string]bool{
	"config_in_force": true, "group": true, "owner_silent": true, "owner_heard": true, "store_lost": true, "store_regained": true,
	"adapter_version": true, "started": true, "draining": true, "stopped": true, "log_lines_dropped": true,
}

// aroundTime is the time before a request from which beliefs are shown.
const aroundTime = 5 * time.Second

// Read reads the lines of a log within a window. Text before the JSON of a line is
// skipped, so that logs collected by other tools can be read.
func Read(r io.Reader, window Window) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	var lines []Line
	for scanner.Scan() {
		if line, ok := parse(scanner.Bytes()); ok && window.holds(line.Time) {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, errs.Wrap(err, errs.InvalidMessage, "read a log")
	}
	return lines, nil
}

func parse(raw []byte) (Line, bool) {
	at := bytes.IndexByte(raw, '{')
	if at < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal(raw[at:], &fields) != nil {
		return Line{}, false
	}
	line := Line{VM: text(fields, "vm"), Event: text(fields, "event"), Stamp: text(fields, "stamp"), Fields: fields}
	line.Time, _ = time.Parse(time.RFC3339, text(fields, "time")) // no time: zero
	if wall, _, _ := line.stamp(); wall > 0 {
		line.Time = time.Unix(0, wall).UTC()
	}
	for _, name := range []string{"vm", "event", "stamp", "time", "level"} {
		delete(fields, name)
	}
	return line, line.Event != ""
}

func text(fields map[string]any, name string) string {
	value, _ := fields[name].(string)
	return value
}

// stamp returns the parts of a line's stamp.
func (l *Line) stamp() (wall int64, counter uint64, ok bool) {
	first, second, found := strings.Cut(l.Stamp, ".")
	wall, err := strconv.ParseInt(first, 10, 64)
	if err != nil || !found {
		return 0, 0, false
	}
	counter, err = strconv.ParseUint(second, 10, 64)
	return wall, counter, err == nil
}

func before(a, b Line) int {
	wa, ca, _ := a.stamp()
	wb, cb, _ := b.stamp()
	return cmp.Or(cmp.Compare(wa, wb), cmp.Compare(ca, cb), a.Time.Compare(b.Time))
}

// about reports whether a line is about a request. Questions to owners carry its
// identifier with a number behind a slash.
func (l *Line) about(id string) bool {
	request := text(l.Fields, "request")
	return request == id || strings.HasPrefix(request, id+"/")
}

// Tell returns the story of a request.
func Tell(id string, lines []Line) (Story, error) {
	story := Story{Request: id}
	for _, l := range lines {
		if l.about(id) {
			story.Lines = append(story.Lines, l)
		}
	}
	if len(story.Lines) == 0 {
		return story, errs.New(errs.NotFound, "no line tells of request "+id+": it succeeded and was not sampled, or the logs do not cover it")
	}
	slices.SortStableFunc(story.Lines, before)
	first, last := story.Lines[0].Time, story.Lines[len(story.Lines)-1].Time
	involved := involvedVMs(story.Lines)
	for _, l := range lines {
		if beliefs[l.Event] && involved[l.VM] && l.Time.After(first.Add(-aroundTime)) && !l.Time.After(last) {
			story.Around = append(story.Around, l)
		}
	}
	slices.SortStableFunc(story.Around, before)
	story.Missing = missing(story.Lines, lines)
	return story, nil
}

// involvedVMs are the VMs that wrote about the request, and the owners they name.
func involvedVMs(lines []Line) map[string]bool {
	involved := map[string]bool{}
	for _, l := range lines {
		involved[l.VM] = true
		if owner := text(l.Fields, "owner"); owner != "" {
			involved[owner] = true
		}
	}
	return involved
}

func missing(story, all []Line) []string {
	var notes []string
	events, vms := map[string]bool{}, map[string]bool{}
	for _, l := range story {
		events[l.Event] = true
	}
	for _, l := range all {
		vms[l.VM] = true
	}
	if !events["finished"] {
		notes = append(notes, "no line of its end: its VM was killed, or its log is not here")
	}
	for vm := range involvedVMs(story) {
		if !vms[vm] {
			notes = append(notes, "no log of "+vm)
		}
	}
	for _, l := range all {
		if l.Event == "log_lines_dropped" {
			notes = append(notes, fmt.Sprintf("%s dropped %v lines", l.VM, l.Fields["count"]))
		}
	}
	slices.Sort(notes)
	return notes
}

// Write writes a story as text.
func Write(w io.Writer, s Story) error {
	start := s.Lines[0].Time
	var b strings.Builder
	fmt.Fprintf(&b, "request %s\n", s.Request)
	for _, l := range s.Lines {
		writeLine(&b, start, l)
	}
	if len(s.Around) > 0 {
		b.WriteString("meanwhile, at the VMs involved\n")
		for _, l := range s.Around {
			writeLine(&b, start, l)
		}
	}
	for _, note := range s.Missing {
		fmt.Fprintf(&b, "missing: %s\n", note)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func writeLine(b *strings.Builder, start time.Time, l Line) {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		if name != "request" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	fmt.Fprintf(b, "%+9.3f s  %-20s %-16s", l.Time.Sub(start).Seconds(), l.VM, l.Event)
	for _, name := range names {
		if value := l.Fields[name]; value != "" {
			fmt.Fprintf(b, " %s=%v", name, value)
		}
	}
	b.WriteByte('\n')
}
