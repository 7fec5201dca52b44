// Package explain reconstructs the course of one request from the logs of several VMs.
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

// maxLineBytes limits the length of one log line.
const maxLineBytes = 1 << 20

// Line is one parsed log line. Fields holds the fields that have no struct field of
// their own, without the level. Time is the wall time of Stamp if the line has a stamp,
// otherwise the line's own time, or zero if that is missing or invalid.
type Line struct {
	VM     string         `json:"vm"`
	Time   time.Time      `json:"time"`
	Event  string         `json:"event"`
	Stamp  string         `json:"stamp"`
	Fields map[string]any `json:"fields"`
}

// Report is what the logs contain about one request.
type Report struct {
	Request      string   `json:"request"`
	Lines        []Line   `json:"lines"`   // lines about the request, in causal order
	StateChanges []Line   `json:"around"`  // state changes of the VMs involved, from stateChangeLookback before the first of Lines to the last
	Limits       []string `json:"limits"`  // how rate limits of targets held the request up
	Leaving      []string `json:"leaving"` // which targets the request did not get because they leave
	Pauses       []string `json:"pauses"`  // how pauses of targets held the request up
	Hedges       []string `json:"hedges"`  // second attempts beside the first one
	// Restores tells when the VMs involved learned of a restore of the store, and caught up.
	Restores []string `json:"restores"`
	// Unanswered tells how the end of a process cut the request.
	Unanswered []string `json:"unanswered"`
	Missing    []string `json:"missing"` // descriptions of the lines and logs that are missing
}

// Window selects lines by their time, both ends included. A zero end sets no limit.
type Window struct{ Since, Until time.Time }

func (w Window) contains(t time.Time) bool {
	return (w.Since.IsZero() || !t.Before(w.Since)) && (w.Until.IsZero() || !t.After(w.Until))
}

// stateChangeEvents are the events that change the view that a VM has of the deployment,
// or the state of the VM or its log.
var stateChangeEvents = map[string]bool{
	"config_in_force": true, "group": true, "owner_silent": true, "owner_heard": true, "store_lost": true, "store_regained": true,
	"store_restored": true, "store_caught_up": true, "adapter_version": true, "started": true, "draining": true, "stopped": true, "log_lines_dropped": true,
}

// stateChangeLookback is how long before the first line of a request state changes are
// reported.
const stateChangeLookback = 5 * time.Second

// Read returns the lines of a log that lie within the window. It skips text before the
// JSON of a line, so that it can read logs collected by other tools, and it skips lines
// without a JSON object or without an event.
func Read(r io.Reader, window Window) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var lines []Line
	for scanner.Scan() {
		if line, ok := parseLine(scanner.Bytes()); ok && window.contains(line.Time) {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, errs.Wrap(err, errs.InvalidMessage, "read log")
	}
	return lines, nil
}

func parseLine(raw []byte) (Line, bool) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal(raw[start:], &fields) != nil {
		return Line{}, false
	}
	line := Line{VM: stringField(fields, "vm"), Event: stringField(fields, "event"), Stamp: stringField(fields, "stamp"), Fields: fields}
	line.Time, _ = time.Parse(time.RFC3339, stringField(fields, "time")) // zero if the time is missing or invalid
	if wall, _, _ := line.parseStamp(); wall > 0 {
		line.Time = time.Unix(0, wall).UTC()
	}
	for _, name := range []string{"vm", "event", "stamp", "time", "level"} {
		delete(fields, name)
	}
	return line, line.Event != ""
}

func stringField(fields map[string]any, name string) string {
	value, _ := fields[name].(string)
	return value
}

// parseStamp returns the wall time of the line's stamp in nanoseconds and its counter.
// ok is false if the line has no valid stamp.
func (l *Line) parseStamp() (wall int64, counter uint64, ok bool) {
	wallText, counterText, found := strings.Cut(l.Stamp, ".")
	wall, err := strconv.ParseInt(wallText, 10, 64)
	if err != nil || !found {
		return 0, 0, false
	}
	counter, err = strconv.ParseUint(counterText, 10, 64)
	return wall, counter, err == nil
}

// compareStamps orders lines by stamp, and lines with equal or no stamps by time.
func compareStamps(a, b Line) int {
	wallA, counterA, _ := a.parseStamp()
	wallB, counterB, _ := b.parseStamp()
	return cmp.Or(cmp.Compare(wallA, wallB), cmp.Compare(counterA, counterB), a.Time.Compare(b.Time))
}

// matchesRequest reports whether a line is about a request. Requests to group owners
// carry the request's id followed by a slash and a number.
func (l *Line) matchesRequest(id string) bool {
	request := stringField(l.Fields, "request")
	return request == id || strings.HasPrefix(request, id+"/")
}

// BuildReport returns the report of a request. It fails with errs.NotFound if no line is
// about the request.
func BuildReport(id string, lines []Line) (Report, error) {
	report := Report{Request: id}
	for _, l := range lines {
		if l.matchesRequest(id) {
			report.Lines = append(report.Lines, l)
		}
	}
	if len(report.Lines) == 0 {
		return report, errs.New(errs.NotFound, "no log line about request "+id+": the request succeeded and was not sampled, or the logs do not cover it")
	}
	slices.SortStableFunc(report.Lines, compareStamps)
	first, last := report.Lines[0].Time, report.Lines[len(report.Lines)-1].Time
	involved, targets := involvedVMs(report.Lines), involvedTargets(report.Lines)
	for _, l := range lines {
		changed := stateChangeEvents[l.Event] || (limitEvents[l.Event] || targetEvents[l.Event] || pauseEvents[l.Event]) && targets[stringField(l.Fields, "target")]
		if changed && involved[l.VM] && l.Time.After(first.Add(-stateChangeLookback)) && !l.Time.After(last) {
			report.StateChanges = append(report.StateChanges, l)
		}
	}
	slices.SortStableFunc(report.StateChanges, compareStamps)
	report.Limits = describeLimits(report.Lines)
	report.Leaving = describeLeaving(report.Lines, lines)
	report.Pauses = describePauses(report.Lines)
	report.Hedges = describeHedges(report.Lines)
	report.Restores = describeRestores(first, last, involved, lines)
	report.Unanswered = describeUnanswered(report.Lines)
	report.Missing = describeGaps(report.Lines, lines)
	return report, nil
}

// involvedVMs returns the VMs that logged the lines and the group owners that the lines
// name.
func involvedVMs(lines []Line) map[string]bool {
	involved := map[string]bool{}
	for _, l := range lines {
		involved[l.VM] = true
		if owner := stringField(l.Fields, "owner"); owner != "" {
			involved[owner] = true
		}
	}
	return involved
}

// describeGaps describes the log lines and logs of a request that are missing.
func describeGaps(requestLines, allLines []Line) []string {
	var gaps []string
	events, loggedVMs := map[string]bool{}, map[string]bool{}
	for _, l := range requestLines {
		events[l.Event] = true
	}
	for _, l := range allLines {
		loggedVMs[l.VM] = true
	}
	if !events["finished"] && !events["unanswered"] {
		gaps = append(gaps, "no line for the end of the request: the VM that served it was killed, or the log of that VM was not supplied")
	}
	for vm := range involvedVMs(requestLines) {
		if !loggedVMs[vm] {
			gaps = append(gaps, "no log lines from "+vm)
		}
	}
	for _, l := range allLines {
		if l.Event == "log_lines_dropped" {
			gaps = append(gaps, fmt.Sprintf("%s dropped %v log lines", l.VM, l.Fields["count"]))
		}
	}
	slices.Sort(gaps)
	return gaps
}

// Write writes a report as text. The time of each line is given in seconds after the
// first line of the request.
func Write(w io.Writer, report Report) error {
	start := report.Lines[0].Time
	var b strings.Builder
	fmt.Fprintf(&b, "request %s\n", report.Request)
	for _, l := range report.Lines {
		writeLine(&b, start, l)
	}
	if len(report.StateChanges) > 0 {
		b.WriteString("state changes of the VMs involved\n")
		for _, l := range report.StateChanges {
			writeLine(&b, start, l)
		}
	}
	for _, limit := range report.Limits {
		fmt.Fprintf(&b, "limit: %s\n", limit)
	}
	for _, leaving := range report.Leaving {
		fmt.Fprintf(&b, "leaving: %s\n", leaving)
	}
	for _, pause := range report.Pauses {
		fmt.Fprintf(&b, "pause: %s\n", pause)
	}
	for _, hedge := range report.Hedges {
		fmt.Fprintf(&b, "hedge: %s\n", hedge)
	}
	for _, restore := range report.Restores {
		fmt.Fprintf(&b, "restore: %s\n", restore)
	}
	for _, cut := range report.Unanswered {
		fmt.Fprintf(&b, "unanswered: %s\n", cut)
	}
	for _, gap := range report.Missing {
		fmt.Fprintf(&b, "missing: %s\n", gap)
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
