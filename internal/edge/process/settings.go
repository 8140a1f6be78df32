// Package process composes the edge process. It runs on each host, receives callers'
// requests and serves them on targets.
package process

import (
	"corianderhitch/internal/logging"
	"corianderhitch/internal/telemetry"
)

// Settings are the settings of the edge process. Settings of the host itself are in
// the node file, which the platform writes.
type Settings struct {
	NodeFile       string `flag:"node-file" usage:"path of the settings file that the platform writes for this host; empty takes the path that the platform gives in the environment"`
	PrintConfig    bool   `flag:"print-config" usage:"print the settings and exit"`
	MemoryShare    int    `flag:"memory-share" default:"70" usage:"percent of the host's memory that the Go runtime may fill before it collects garbage more often" validate:"min=10,max=95"`
	HeldShare      int    `flag:"held-share" default:"30" usage:"percent of the host's memory that requests, bodies and answers of callers may hold" validate:"min=5,max=60"`
	MaxHeaderLines int    `flag:"max-header-lines" default:"5462" usage:"header lines of a caller's request beyond which it is answered with 431" validate:"min=64,max=20000"`
	ReplicaShare   int    `flag:"backup-share" default:"60" usage:"percent of an engine's memory that may be expected in use with a copy that stands by for a run of another engine; 0 keeps no copies" validate:"min=0,max=90"`
	LogLevel       string `flag:"log-level" default:"info" usage:"lowest level that is logged: debug, info, warn or error" validate:"oneof=debug info warn error"`
	telemetry.Settings
}

// logSettings returns the settings of the root logger. The format is JSON, which the
// reader of request timelines requires.
func (s *Settings) logSettings() logging.Settings {
	return logging.Settings{LogFormat: "json", LogLevel: s.LogLevel}
}
