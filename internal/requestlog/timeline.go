// Package requestlog extracts the log lines of one request from the logs of all hosts and
// orders them by time.
package requestlog

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

// maxLineBytes bounds the length of a line; Reader.Read fails on a longer one.
const maxLineBytes = 1 << 20

// Line is one log line of the request.
type Line struct {
	Time    time.Time      `json:"time"`
	Source  string         `json:"source"` // text before the line's JSON object, or the name of the log
	Level   string         `json:"level"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// Timeline holds the log lines of one request, and what may be missing from them.
type Timeline struct {
	Request         string `json:"request"`
	Lines           []Line `json:"lines"`       // by time
	UnreadableLines int    `json:"unreadable"`  // lines that are not valid log lines
	OmittedLines    int64  `json:"left_out"`    // lines of any request that the hosts suppressed or dropped
	MissingEnd      bool   `json:"without_end"` // no line states how the request ended
}

// Reader collects the lines of one request from several logs.
type Reader struct{ timeline Timeline }

// NewReader returns a reader for the request with the given ID.
func NewReader(request string) *Reader { return &Reader{timeline: Timeline{Request: request}} }

// Read reads a log with one JSON object per line. Text before the object is taken as the
// line's source; without such text the source is name.
func (r *Reader) Read(name string, log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		r.addLine(name, scanner.Text())
	}
	return scanner.Err()
}

// addLine parses one line and adds it to the timeline if it belongs to the request.
func (r *Reader) addLine(name, text string) {
	jsonStart := strings.IndexByte(text, '{')
	if jsonStart < 0 {
		r.countUnreadable(text)
		return
	}
	fields := make(map[string]any)
	if err := json.Unmarshal([]byte(text[jsonStart:]), &fields); err != nil {
		r.countUnreadable(text)
		return
	}
	// asynclog.Sampler reports the lines it suppressed, asynclog.Writer those it dropped.
	if n, ok := fields["lines_left_out"].(float64); ok {
		r.timeline.OmittedLines += int64(n)
	}
	if n, ok := fields["lines"].(float64); ok && strings.HasPrefix(stringValue(fields["msg"]), "log: ") {
		r.timeline.OmittedLines += int64(n)
	}
	if stringValue(fields["request"]) != r.timeline.Request {
		return
	}
	at, err := time.Parse(time.RFC3339Nano, stringValue(fields["time"]))
	if err != nil {
		r.countUnreadable(text)
		return
	}
	source := strings.TrimSpace(text[:jsonStart])
	if source == "" {
		source = name
	}
	line := Line{Time: at, Source: source, Level: stringValue(fields["level"]), Message: stringValue(fields["msg"]), Fields: fields}
	for _, key := range []string{"time", "level", "msg", "request", "lines_left_out"} {
		delete(fields, key)
	}
	r.timeline.Lines = append(r.timeline.Lines, line)
}

// countUnreadable counts a line that cannot be parsed, unless it is blank.
func (r *Reader) countUnreadable(text string) {
	if strings.TrimSpace(text) != "" {
		r.timeline.UnreadableLines++
	}
}

// Timeline returns the lines read so far, ordered by time.
func (r *Reader) Timeline() Timeline {
	t := r.timeline
	sort.SliceStable(t.Lines, func(i, j int) bool { return t.Lines[i].Time.Before(t.Lines[j].Time) })
	t.MissingEnd = true
	for _, l := range t.Lines {
		if strings.HasPrefix(l.Message, "ingress: request") {
			t.MissingEnd = false
		}
	}
	return t
}

// Write prints one line per log line, and then the gaps that the logs reveal.
func (t *Timeline) Write(w io.Writer) {
	if len(t.Lines) == 0 {
		fmt.Fprintf(w, "no line names request %s: it reached none of these hosts, or its lines were left out\n", t.Request)
	}
	for _, l := range t.Lines {
		fmt.Fprintf(w, "%s  %-16s %-5s %s%s\n", l.Time.Format("15:04:05.000"), l.Source, l.Level, l.Message, formatFields(l.Fields))
	}
	if len(t.Lines) > 0 && t.MissingEnd {
		fmt.Fprintln(w, "gap: no line tells how the request ended; the process ended first, or the line was left out")
	}
	if t.OmittedLines > 0 {
		fmt.Fprintf(w, "gap: the hosts left out %d lines, some of which may be of this request\n", t.OmittedLines)
	}
	if t.UnreadableLines > 0 {
		fmt.Fprintf(w, "gap: %d lines cannot be read\n", t.UnreadableLines)
	}
}

// formatFields returns the fields as " key=value" pairs, sorted by key.
func formatFields(fields map[string]any) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, fields[name])
	}
	return b.String()
}

// stringValue returns v if it is a string, otherwise "".
func stringValue(v any) string {
	s, _ := v.(string)
	return s
}
