// Command gendoc writes docs/CONFIGURATION.md from the settings of all programs.
// With -check it changes nothing and fails if the file is not current.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"os"
)

func main() {
	out := flag.String("out", "docs/CONFIGURATION.md", "file to write or check")
	check := flag.Bool("check", false, "fail if the file is not current, and change nothing")
	flag.Parse()
	if err := run(*out, *check); err != nil {
		fmt.Fprintln(os.Stderr, "gendoc:", err)
		os.Exit(1)
	}
}

func run(out string, check bool) error {
	var page bytes.Buffer
	writePage(&page)
	if !check {
		return os.WriteFile(out, page.Bytes(), 0o644)
	}
	committed, err := os.ReadFile(out)
	if err != nil {
		return err
	}
	if !bytes.Equal(committed, page.Bytes()) {
		return fmt.Errorf("%s is not current; run make generate and commit it", out)
	}
	return nil
}
