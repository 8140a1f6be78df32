package metrics

import (
	"fmt"
	"io"
)

// WritePage writes the Markdown page that lists all metrics.
func WritePage(w io.Writer, definitions []Definition) error {
	if _, err := fmt.Fprint(w, "# Metrics of the edge process\n\nMade from the code by `make generate`; served at `/metrics` on the ready address.\n\n"+
		"| metric | kind | unit | labels | meaning |\n|---|---|---|---|---|\n"); err != nil {
		return err
	}
	for _, d := range definitions {
		if _, err := fmt.Fprintf(w, "| `%s` | %s | %s | %s | %s |\n", d.Name, d.Kind, d.Unit, d.Labels, d.Description); err != nil {
			return err
		}
	}
	return nil
}
