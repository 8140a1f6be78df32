package asynclog

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

const (
	// routineLinesPerSecond bounds the lines of one message at level info or below.
	routineLinesPerSecond = 60
	// failureLinesPerSecond is the same for warnings and errors, which routine lines must
	// not displace.
	failureLinesPerSecond = 120
)

// Sampler is a slog.Handler that limits the lines of each message per second and
// reports how many it omitted.
type Sampler struct {
	slog.Handler
	counts *lineCounts
}

type lineCounts struct {
	mu      sync.Mutex
	second  int64            // guarded by mu
	lines   map[string]int   // guarded by mu; lines by message in the current second
	omitted map[string]int64 // guarded by mu; lines omitted since the last line of the message
}

// NewSampler returns a handler that limits the lines passed to h.
func NewSampler(h slog.Handler) *Sampler {
	return &Sampler{Handler: h, counts: &lineCounts{lines: make(map[string]int), omitted: make(map[string]int64)}}
}

// Handle implements slog.Handler.
func (s *Sampler) Handle(ctx context.Context, r slog.Record) error {
	omitted, ok := s.counts.admit(r.Time, r.Message, r.Level)
	if !ok {
		return nil
	}
	if omitted > 0 {
		r.AddAttrs(slog.Int64("lines_left_out", omitted))
	}
	return s.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (s *Sampler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Sampler{Handler: s.Handler.WithAttrs(attrs), counts: s.counts}
}

// WithGroup implements slog.Handler.
func (s *Sampler) WithGroup(name string) slog.Handler {
	return &Sampler{Handler: s.Handler.WithGroup(name), counts: s.counts}
}

// admit counts a line and reports whether it is within the limit. omitted is how many
// lines of the message were omitted before this one.
func (c *lineCounts) admit(at time.Time, message string, level slog.Level) (omitted int64, ok bool) {
	limit := routineLinesPerSecond
	if level > slog.LevelInfo {
		limit = failureLinesPerSecond
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if second := at.Unix(); second != c.second {
		c.second = second
		clear(c.lines)
	}
	c.lines[message]++
	if c.lines[message] > limit {
		c.omitted[message]++
		return 0, false
	}
	omitted = c.omitted[message]
	delete(c.omitted, message)
	return omitted, true
}
