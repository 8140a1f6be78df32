package settings

import (
	"fmt"
	"io"
	"strings"
)

// secretMask replaces the value of a secret setting in any output.
const secretMask = "********"

// Print writes one line "flag=value" for every setting of the struct that target points
// to, with secrets masked.
func Print(w io.Writer, target any) {
	for _, f := range Fields(target) {
		fmt.Fprintf(w, "%s=%s\n", f.Flag, displayValue(f))
	}
}

// displayValue returns the value of a setting for output. A secret that is set is masked.
func displayValue(f Field) string {
	if f.Secret {
		if f.value.IsZero() {
			return ""
		}
		return secretMask
	}
	if list, ok := f.value.Interface().([]string); ok {
		return strings.Join(list, ",")
	}
	return fmt.Sprint(f.value.Interface())
}

// WriteMarkdown writes the settings of one program as a Markdown section with a table,
// for docs/CONFIGURATION.md.
func WriteMarkdown(w io.Writer, program string, target any) {
	fmt.Fprintf(w, "## %s\n\n| flag | environment | default | rules | meaning |\n|---|---|---|---|---|\n", program)
	for _, f := range Fields(target) {
		fmt.Fprintf(w, "| `--%s` | `%s` | %s | %s | %s |\n", f.Flag, f.Env, codeSpan(f.Default), codeSpan(f.Validate), usageCell(f))
	}
	fmt.Fprintln(w)
}

func usageCell(f Field) string {
	text := strings.ReplaceAll(f.Usage, "|", `\|`)
	if f.Secret {
		text += " (secret: masked in output)"
	}
	return text
}

func codeSpan(text string) string {
	if text == "" {
		return ""
	}
	return "`" + strings.ReplaceAll(text, "|", `\|`) + "`"
}
