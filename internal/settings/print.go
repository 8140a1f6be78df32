package settings

import (
	"fmt"
	"io"
	"strings"
)

// mask replaces the value of a secret setting in any output.
const mask = "********"

// Print writes one line "flag=value" for every setting, with secrets masked.
func Print(w io.Writer, target any) {
	for _, f := range Fields(target) {
		fmt.Fprintf(w, "%s=%s\n", f.Flag, display(f))
	}
}

func display(f Field) string {
	if f.Secret {
		if f.value.IsZero() {
			return ""
		}
		return mask
	}
	if list, ok := f.value.Interface().([]string); ok {
		return strings.Join(list, ",")
	}
	return fmt.Sprint(f.value.Interface())
}

// Markdown writes the settings of one program as a table for
// docs/CONFIGURATION.md.
func WriteMarkdown(w io.Writer, program string, target any) {
	fmt.Fprintf(w, "## %s\n\n| flag | environment | default | rules | meaning |\n|---|---|---|---|---|\n", program)
	for _, f := range Fields(target) {
		fmt.Fprintf(w, "| `--%s` | `%s` | %s | %s | %s |\n", f.Flag, f.Env, code(f.Default), code(f.Validate), meaning(f))
	}
	fmt.Fprintln(w)
}

func meaning(f Field) string {
	text := strings.ReplaceAll(f.Usage, "|", `\|`)
	if f.Secret {
		text += " (secret: masked in output)"
	}
	return text
}

func code(text string) string {
	if text == "" {
		return ""
	}
	return "`" + strings.ReplaceAll(text, "|", `\|`) + "`"
}
