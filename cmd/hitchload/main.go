// Command hitchload runs scheduling policies in virtual time, sends load to running
// deployments, measures the resource usage of processes, drills whole deployments, and draws
// charts of the results.
package main

import (
	"os"

	"corianderhitch/internal/capacity"
	"corianderhitch/internal/drill"
	"corianderhitch/internal/load"
	"corianderhitch/platform/standin/fleet"
)

func main() {
	root := load.Command()
	root.AddCommand(capacity.UsageCommand(), capacity.PageCommand(), drill.Command(fleet.Platform{}))
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}
