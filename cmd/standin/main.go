// Command standin runs small fakes of the systems that corianderhitch depends on: the
// platform's store, a model engine and a plain service. They are meant for tests and
// demonstrations only.
package main

import (
	"context"
	"os"

	"github.com/spf13/cobra"

	"corianderhitch/internal/standin/engine"
	"corianderhitch/internal/standin/process"
	"corianderhitch/internal/standin/service"
	"corianderhitch/internal/standin/store"
)

func main() {
	root := &cobra.Command{Use: "standin", Short: "Stand-ins for tests and demonstration", SilenceUsage: true}
	root.AddCommand(
		process.Command[store.Settings]("store", "Run the platform's store and host list", store.Run),
		process.Command[engine.Settings]("engine", "Run a model engine", engine.Run),
		process.Command[service.Settings]("service", "Run a plain service", service.Run),
	)
	if root.ExecuteContext(context.Background()) != nil {
		os.Exit(1)
	}
}
