// Command gateway serves the HTTP API to callers on one host. It follows the agents for
// documents, targets and placement.
//
// Exit codes: 0 after SIGTERM or SIGINT, 1 if it cannot start, 2 for invalid settings.
package main

import (
	"corianderhitch/internal/gateway"
	"corianderhitch/internal/program"
)

func main() {
	program.Daemon[gateway.Settings]{
		Name:        "gateway",
		Short:       "Serve callers on one host",
		PrintConfig: func(s *gateway.Settings) bool { return s.PrintConfig },
		Run:         gateway.Run,
	}.Main()
}
