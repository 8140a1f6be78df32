// Command edge runs on each host of the platform, receives callers' requests and serves
// them on targets.
//
// Exit codes: 0 after SIGTERM or SIGINT, 1 if it cannot start, 2 for invalid settings.
package main

import (
	"corianderhitch/internal/edge/process"
	"corianderhitch/internal/program"
	"corianderhitch/platform"
)

func main() {
	program.Daemon[process.Settings]{
		Name:        "edge",
		Short:       "Serve callers on one host of the platform",
		PrintConfig: func(s *process.Settings) bool { return s.PrintConfig },
		Run:         process.Run(platform.Adapter()),
	}.Main()
}
