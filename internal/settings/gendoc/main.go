// Command gendoc generates docs/CONFIGURATION.md from the settings of all programs. With
// -check it changes nothing and fails if the file is not up to date.
package main

import (
	"io"

	"corianderhitch/internal/docpage"
)

func main() { docpage.Main("docs/CONFIGURATION.md", generate) }

func generate(w io.Writer) error {
	writePage(w)
	return nil
}
