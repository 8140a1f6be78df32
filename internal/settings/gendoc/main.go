// Command gendoc writes docs/CONFIGURATION.md from the settings of all programs.
// With -check it changes nothing and fails if the file is not current.
package main

import (
	"io"

	"corianderhitch/internal/docpage"
)

func main() { docpage.Main("docs/CONFIGURATION.md", page) }

func page(w io.Writer) error {
	writePage(w)
	return nil
}
