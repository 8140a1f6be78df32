// Command agent runs the control plane of one host.
//
// Exit codes: 0 after SIGTERM or SIGINT, 1 if it cannot start, 2 for invalid settings.
package main

import (
	"corianderhitch/internal/agent"
	"corianderhitch/internal/program"
)

func main() {
	program.Daemon[agent.Settings]{
		Name:        "agent",
		Short:       "Run the control duties of one host",
		PrintConfig: func(s *agent.Settings) bool { return s.PrintConfig },
		Run:         agent.Run,
	}.Main()
}
