package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"corianderhitch/internal/document"
)

// output writes results and errors as text or JSON.
type output struct {
	stdout io.Writer
	stderr io.Writer
	json   bool
}

// writeResult writes value as JSON, or calls text to write it as text.
func (o *output) writeResult(value any, text func(w io.Writer)) error {
	if !o.json {
		text(o.stdout)
		return nil
	}
	encoder := json.NewEncoder(o.stdout)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}

// errorReport is the JSON output of an error, written to stderr.
type errorReport struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	Details any    `json:"details,omitempty"`
}

func (o *output) writeError(kind string, err error) {
	if !o.json {
		fmt.Fprintf(o.stderr, "hitchctl: %v\n", err)
		return
	}
	encoder := json.NewEncoder(o.stderr)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	// An error of writing to stderr cannot be reported anywhere.
	_ = encoder.Encode(errorReport{Kind: kind, Message: err.Error(), Details: errorDetails(err)})
}

// writeTable writes rows of tab-separated cells in aligned columns.
func writeTable(w io.Writer, header string, rows []string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, header)
	for _, line := range rows {
		fmt.Fprintln(t, line)
	}
	_ = t.Flush()
}

// joinCells formats values as tab-separated cells, with "-" for empty ones.
func joinCells(values ...any) string {
	texts := make([]string, 0, len(values))
	for _, v := range values {
		text := fmt.Sprint(v)
		if text == "" {
			text = "-"
		}
		texts = append(texts, text)
	}
	return strings.Join(texts, "\t")
}

func writeChanges(w io.Writer, changes []document.Change) {
	if len(changes) == 0 {
		fmt.Fprintln(w, "no changes")
		return
	}
	for _, c := range changes {
		fmt.Fprintln(w, c)
	}
}
