// Command hitchload measures: it runs scheduling policies in virtual time.
package main

import (
	"os"

	"corianderhitch/internal/load"
)

func main() {
	if err := load.Command().Execute(); err != nil {
		os.Exit(1)
	}
}
