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

// result writes a result: as JSON, or as text by the given function.
func (o *output) result(value any, text func(w io.Writer)) error {
	if !o.json {
		text(o.stdout)
		return nil
	}
	encoder := json.NewEncoder(o.stdout)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}

// failureReport is an error in JSON output, on stderr.
type failureReport struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	Details any    `json:"details,omitempty"`
}

func (o *output) failure(kind string, err error) {
	if !o.json {
		fmt.Fprintf(o.stderr, "hitchctl: %v\n", err)
		return
	}
	encoder := json.NewEncoder(o.stderr)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	// A failure to write to stderr can be told nowhere.
	_ = encoder.Encode(failureReport{Kind: kind, Message: err.Error(), Details: details(err)})
}

// table writes lines of tab-separated cells in columns.
func table(w io.Writer, head string, lines []string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, head)
	for _, line := range lines {
		fmt.Fprintln(t, line)
	}
	_ = t.Flush()
}

func cells(values ...any) string {
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
