// Package story picks the lines about one request out of the logs of all hosts
// and puts them in order.
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

// maxLineBytes bounds a line; longer ones are counted as unreadable.
const maxLineBytes = 1 << 20

// Line is one decision about the request.
type Line struct {
	Time    time.Time      `json:"time"`
	Source  string         `json:"source"` // what stands before the JSON of the line, or the file
	Level   string         `json:"level"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// Story is what the logs tell about a request.
type Timeline struct {
	Request         string `json:"request"`
	Lines           []Line `json:"lines"`       // by time
	UnreadableLines int    `json:"unreadable"`  // lines that are no JSON
	OmittedLines    int64  `json:"left_out"`    // lines that the hosts left out or dropped, of any request
	MissingEnd      bool   `json:"without_end"` // no line says how the request ended
}

// Reader collects a story from several logs.
type Reader struct{ story Timeline }

// NewReader returns a reader for one request id.
func NewReader(request string) *Reader { return &Reader{story: Timeline{Request: request}} }

// Read takes a log, one JSON object a line, with or without a prefix before it.
func (r *Reader) Read(name string, log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		r.line(name, scanner.Text())
	}
	return scanner.Err()
}

func (r *Reader) line(name, text string) {
	begin := strings.IndexByte(text, '{')
	if begin < 0 {
		r.unreadable(text)
		return
	}
	fields := make(map[string]any)
	if err := json.Unmarshal([]byte(text[begin:]), &fields); err != nil {
		r.unreadable(text)
		return
	}
	if n, ok := fields["lines_left_out"].(float64); ok {
		r.story.OmittedLines += int64(n)
	}
	if n, ok := fields["lines"].(float64); ok && strings.HasPrefix(str(fields["msg"]), "log: ") {
		r.story.OmittedLines += int64(n)
	}
	if str(fields["request"]) != r.story.Request {
		return
	}
	at, err := time.Parse(time.RFC3339Nano, str(fields["time"]))
	if err != nil {
		r.unreadable(text)
		return
	}
	source := strings.TrimSpace(text[:begin])
	if source == "" {
		source = name
	}
	line := Line{Time: at, Source: source, Level: str(fields["level"]), Message: str(fields["msg"]), Fields: fields}
	for _, key := range []string{"time", "level", "msg", "request", "lines_left_out"} {
		delete(fields, key)
	}
	r.story.Lines = append(r.story.Lines, line)
}

func (r *Reader) unreadable(text string) {
	if strings.TrimSpace(text) != "" {
		r.story.UnreadableLines++
	}
}

// Story returns what was read so far.
func (r *Reader) Timeline() Timeline {
	s := r.story
	sort.SliceStable(s.Lines, func(i, j int) bool { return s.Lines[i].Time.Before(s.Lines[j].Time) })
	s.MissingEnd = true
	for _, l := range s.Lines {
		if strings.HasPrefix(l.Message, "ingress: request") {
			s.MissingEnd = false
		}
	}
	return s
}

// Write prints the story, one decision a line.
func (s *Timeline) Write(w io.Writer) {
	if len(s.Lines) == 0 {
		fmt.Fprintf(w, "no line names request %s: it reached none of these hosts, or its lines were left out\n", s.Request)
	}
	for _, l := range s.Lines {
		fmt.Fprintf(w, "%s  %-16s %-5s %s%s\n", l.Time.Format("15:04:05.000"), l.Source, l.Level, l.Message, fieldText(l.Fields))
	}
	if len(s.Lines) > 0 && s.MissingEnd {
		fmt.Fprintln(w, "gap: no line tells how the request ended; the process ended first, or the line was left out")
	}
	if s.OmittedLines > 0 {
		fmt.Fprintf(w, "gap: the hosts left out %d lines, some of which may be of this request\n", s.OmittedLines)
	}
	if s.UnreadableLines > 0 {
		fmt.Fprintf(w, "gap: %d lines cannot be read\n", s.UnreadableLines)
	}
}

func fieldText(fields map[string]any) string {
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

func str(v any) string {
	s, _ := v.(string)
	return s
}
