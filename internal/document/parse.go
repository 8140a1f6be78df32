package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"

	"go.yaml.in/yaml/v4"
)

// MaxSourceBytes is the largest source that Parse accepts.
const MaxSourceBytes = 32 << 20

// Parse reads a document from YAML or JSON, checks it against the JSON Schema
// and the semantic rules, and returns it as written, without defaults (see
// Normalize). The error is a *ValidationError that lists all problems.
func Parse(source []byte) (Document, error) {
	var ps problems
	if len(source) > MaxSourceBytes {
		ps.add(nil, "split the environment or shorten the document", "has %d bytes, more than %d", len(source), MaxSourceBytes)
		return Document{}, ps.result(firstLine)
	}
	if !utf8.Valid(source) {
		ps.add(nil, "save the file as UTF-8", "is not valid UTF-8")
		ps.list[0].Line = invalidLine(source)
		return Document{}, ps.result(firstLine)
	}
	var root yaml.Node
	if err := yaml.Load(source, &root, yaml.WithV4Defaults()); err != nil {
		addSyntaxError(&ps, err, source)
		return Document{}, ps.result(firstLine)
	}
	c := converter{problems: &ps}
	value := c.convert(nil, &root)
	last := lineCount(source)
	lines := func(at path) int { return min(lineOf(&root, at), last) }
	if c.aborted {
		return Document{}, ps.result(lines)
	}
	checkSchema(&ps, value)
	d, err := decodeValue(value)
	if err != nil {
		ps.add(nil, "report this document to the maintainers", "cannot be decoded: %v", err)
		return Document{}, ps.result(lines)
	}
	checkRules(&ps, &d)
	if err := ps.result(lines); err != nil {
		return Document{}, err
	}
	return d, nil
}

// Validate checks a document that was not read by Parse, for example one whose
// environment was changed for promotion. The error is a *ValidationError
// without lines.
func Validate(d Document) error {
	var ps problems
	body, err := json.Marshal(d)
	if err != nil {
		ps.add(nil, "use finite numbers only", "cannot be encoded: %v", err)
		return ps.result(noLine)
	}
	var value any
	if err := json.Unmarshal(body, &value); err != nil {
		ps.add(nil, "report this document to the maintainers", "cannot be decoded: %v", err)
		return ps.result(noLine)
	}
	checkSchema(&ps, value)
	checkRules(&ps, &d)
	return ps.result(noLine)
}

func firstLine(path) int { return 1 }

func noLine(path) int { return 0 }

// decodeValue turns a generic value into a Document. Values of a wrong type, which
// the schema check has reported, are left out, so that the semantic rules can
// check the rest.
func decodeValue(value any) (Document, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return Document{}, fmt.Errorf("encode: %w", err)
	}
	var d Document
	err = json.Unmarshal(body, &d)
	var mismatch *json.UnmarshalTypeError
	if err != nil && !errors.As(err, &mismatch) {
		return Document{}, fmt.Errorf("decode: %w", err)
	}
	return d, nil
}

func addSyntaxError(ps *problems, err error, source []byte) {
	const remedy = "correct the YAML or JSON syntax; check the indentation first"
	line, message := 1, strings.ReplaceAll(err.Error(), "\n", " ")
	var at *yaml.LoadError
	if errors.As(err, &at) {
		line, message = min(max(at.Mark.Line, 1), lineCount(source)), at.Message
	}
	ps.add(nil, remedy, "the document cannot be read: %s", message)
	ps.list[len(ps.list)-1].Line = line
}

// invalidLine returns the line of the first byte that is not valid UTF-8.
func invalidLine(source []byte) int {
	line := 1
	for len(source) > 0 {
		r, size := utf8.DecodeRune(source)
		if r == utf8.RuneError && size == 1 {
			break
		}
		if r == '\n' {
			line++
		}
		source = source[size:]
	}
	return line
}

// lineCount counts lines as editors do. YAML has line breaks that editors do not
// count, such as U+2028.
func lineCount(source []byte) int {
	return 1 + bytes.Count(bytes.TrimRight(source, "\n"), []byte("\n"))
}
