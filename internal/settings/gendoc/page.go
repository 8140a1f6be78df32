package main

import (
	"fmt"
	"io"

	"corianderhitch/internal/agent"
	"corianderhitch/internal/capacity"
	"corianderhitch/internal/cli"
	"corianderhitch/internal/edge/process"
	"corianderhitch/internal/gateway"
	"corianderhitch/internal/load"
	"corianderhitch/internal/settings"
	"corianderhitch/internal/standin/engine"
	"corianderhitch/internal/standin/service"
	"corianderhitch/internal/standin/store"
)

// program is a program, or one of its commands, with its settings.
type program struct {
	name     string
	settings any
}

// programs returns everything that has settings, in the order of the page.
func programs() []program {
	return []program{
		{"gateway", new(gateway.Settings)},
		{"agent", new(agent.Settings)},
		{"edge", new(process.Settings)},
		{"hitchctl", new(cli.Settings)},
		{"hitchload run", new(load.RunSettings)},
		{"hitchload compare", new(load.CompareSettings)},
		{"hitchload overhead", new(load.OverheadSettings)},
		{"hitchload report", new(load.ReportSettings)},
		{"hitchload usage", new(capacity.UsageSettings)},
		{"hitchload capacity", new(capacity.PageSettings)},
		{"standin store", new(store.Settings)},
		{"standin engine", new(engine.Settings)},
		{"standin service", new(service.Settings)},
	}
}

const pageHeader = `# Configuration

Made from the settings themselves by ` + "`make generate`" + `; do not edit.

Every setting is a flag and an environment variable; the flag wins. All settings are checked at the start, and each bad
one is named with its remedy. A variable that starts with HITCH_ and is no setting of the program is refused. ` + "`--print-config`" + `
shows the result, with secrets masked. Durations are written like 500ms or 5s, lists with commas between the items.

What the system serves is not set here but in the environment document: see [OPERATIONS.md](OPERATIONS.md) and
[design/005-environment-document.md](design/005-environment-document.md). ` + "`hitchctl COMMAND --help`" + ` shows the flags of one
command.

`

func writePage(w io.Writer) {
	fmt.Fprint(w, pageHeader)
	for _, p := range programs() {
		settings.WriteMarkdown(w, p.name, p.settings)
	}
}
