// Command hitchload runs scheduling policies in virtual time, sends load to running
// deployments, measures the resource usage of processes, and draws charts of the results.
package main

import (
	"os"

	"corianderhitch/internal/capacity"
	"corianderhitch/internal/load"
)

func main() {
	root := load.Command()
	root.AddCommand(capacity.UsageCommand(), capacity.PageCommand())
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}
