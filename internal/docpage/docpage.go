// Package docpage is the main function of the programs that generate a page of the
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

// Main generates the page by write and writes it to the file of the flag -out, by default
// path. With -check it changes nothing and fails if the file is not up to date.
func Main(path string, write func(io.Writer) error) {
	out := flag.String("out", path, "file to write or check")
	check := flag.Bool("check", false, "fail if the file is not current, and change nothing")
	flag.Parse()
	if err := WriteOrCheck(*out, *check, write); err != nil {
		fmt.Fprintln(os.Stderr, "gendoc:", err)
		os.Exit(1)
	}
}

// WriteOrCheck writes the page to the file out or, if check is set, returns an error if
// the file differs from the page.
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
		return eris.Wrap(err, "cannot read the generated page; run make generate")
	}
	if !bytes.Equal(committed, page.Bytes()) {
		return eris.Errorf("%s is not up to date; run make generate and commit it", out)
	}
	return nil
}
