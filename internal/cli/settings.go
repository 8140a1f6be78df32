package cli

import (
	"os"
	"time"

	"corianderhitch/internal/tlskeys"
)

// Settings holds the settings that all commands of hitchctl share.
type Settings struct {
	Store       string        `flag:"store" default:"http://127.0.0.1:7000" usage:"URL of the platform's store" validate:"required,url"`
	Agent       []string      `flag:"agent" default:"127.0.0.1:7100" usage:"ip:port of the net/rpc of any agents, tried in order" validate:"min=1,dive,hostname_port"`
	Environment string        `flag:"environment" usage:"environment; commands that read a document take it from there"`
	Output      string        `flag:"output" default:"text" usage:"form of the output, text or json" validate:"oneof=text json"`
	Operator    string        `flag:"operator" usage:"name of the operator in the history; empty means the user of the shell"`
	Timeout     time.Duration `flag:"timeout" default:"30s" usage:"bound of a command without --wait" validate:"min=100ms"`
	tlskeys.Settings
	PrintConfig bool `flag:"print-config" usage:"print the settings and stop"`
}

// operator returns the name of the operator for the history: --operator, or else the
// shell's user.
func (s *Settings) operator() string {
	if s.Operator != "" {
		return s.Operator
	}
	if user := os.Getenv("USER"); user != "" {
		return user
	}
	return "unknown"
}
