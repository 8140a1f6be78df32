// Command edge serves callers on one host of the users' platform.
//
// Exit codes: 0 after SIGTERM or SIGINT, 1 if it cannot start, 2 for bad settings.
package main

import (
	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/peers"
	"corianderhitch/internal/edge/process"
	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/program"
	"corianderhitch/platform"
)

func main() {
	program.Daemon[process.Settings]{
		Name:        "edge",
		Short:       "Serve callers on one host of the platform",
		PrintConfig: func(s *process.Settings) bool { return s.PrintConfig },
		Run: process.Run(process.Adapter{
			ReadNode:            platform.ReadNode,
			Store:               func(address string) peers.Store { return platform.NewStore(address) },
			Wire:                platform.Wire{},
			Engines:             func(pool *targetconn.Pool) edge.Engines { return platform.NewEngines(pool) },
			ConfigurationKey:    platform.ConfigurationKey,
			TargetPrefix:        platform.TargetPrefix,
			DecodeConfiguration: platform.DecodeConfiguration,
			DecodeTarget:        platform.DecodeTarget,
			ReadyPath:           platform.ReadyPath,
		}),
	}.Main()
}
