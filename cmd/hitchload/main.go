// Command hitchload measures: it runs scheduling policies in virtual time,
// drives running deployments, reads what processes use, and draws the results.
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
