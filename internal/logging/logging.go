// Package logging builds the slog loggers of the programs. The messages of each component
// start with its fixed prefix, for example "ledger: ".
package logging

import (
	"context"
	"io"
	"log/slog"
)

// Settings are the logging settings shared by all programs.
type Settings struct {
	LogFormat string `flag:"log-format" default:"text" usage:"log format, text or json" validate:"oneof=text json"`
	LogLevel  string `flag:"log-level" default:"info" usage:"lowest level that is logged: debug, info, warn or error" validate:"oneof=debug info warn error"`
}

// New returns the root logger of a program, which writes to w. An invalid level means info.
func New(w io.Writer, s Settings) *slog.Logger {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
		level = slog.LevelInfo
	}
	options := &slog.HandlerOptions{Level: level}
	if s.LogFormat == "json" {
		return slog.New(slog.NewJSONHandler(w, options))
	}
	return slog.New(slog.NewTextHandler(w, options))
}

// WithPrefix returns a logger that starts its messages with the component and ": ".
func WithPrefix(l *slog.Logger, component string) *slog.Logger {
	return slog.New(&prefixHandler{Handler: l.Handler(), prefix: component + ": "})
}

// Discard returns a logger that drops everything, for tests.
func Discard() *slog.Logger { return slog.New(slog.DiscardHandler) }

// prefixHandler is a slog.Handler that prepends a prefix to messages.
type prefixHandler struct {
	slog.Handler
	prefix string
}

// Handle implements slog.Handler.
func (h *prefixHandler) Handle(ctx context.Context, r slog.Record) error {
	r.Message = h.prefix + r.Message
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *prefixHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &prefixHandler{Handler: h.Handler.WithAttrs(attrs), prefix: h.prefix}
}

// WithGroup implements slog.Handler.
func (h *prefixHandler) WithGroup(name string) slog.Handler {
	return &prefixHandler{Handler: h.Handler.WithGroup(name), prefix: h.prefix}
}
