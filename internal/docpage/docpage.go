// Package docpage is the main function of the programs that make a page of the
// documentation from the code.
package docpage

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"
)

// Main writes the page to the file that -out names. With -check it changes nothing
// and fails if the file is not current.
func Main(path string, write func(io.Writer) error) {
	out := flag.String("out", path, "file to write or check")
	check := flag.Bool("check", false, "fail if the file is not current, and change nothing")
	flag.Parse()
	if err := WriteOrCheck(*out, *check, write); err != nil {
		fmt.Fprintln(os.Stderr, "gendoc:", err)
		os.Exit(1)
	}
}

// Make writes the page to a file, or checks that the file holds it.
func WriteOrCheck(out string, check bool, write func(io.Writer) error) error {
	var page bytes.Buffer
	if err := write(&page); err != nil {
		return err
	}
	if !check {
		return os.WriteFile(out, page.Bytes(), 0o644)
	}
	committed, err := os.ReadFile(out)
	if err != nil {
		return eris.Wrap(err, "page cannot be read; run make generate")
	}
	if !bytes.Equal(committed, page.Bytes()) {
		return eris.Errorf("%s is not current; run make generate and commit it", out)
	}
	return nil
}
