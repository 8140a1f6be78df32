package document

import (
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v4"
)

// MaxSourceBytes is the largest source that Parse reads.
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
	var root yaml.Node
	if err := yaml.Load(source, &root, yaml.WithV4Defaults()); err != nil {
		addSyntax(&ps, err)
		return Document{}, ps.result(firstLine)
	}
	c := converter{problems: &ps}
	value := c.convert(nil, &root)
	lines := func(at path) int { return lineOf(&root, at) }
	if c.gaveUp {
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

// decodeValue turns the generic value into a Document. Values that the schema
// refused are left out, so that the semantic rules can check the rest.
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

// yamlLine finds the line that a syntax error of the YAML library names.
var yamlLine = regexp.MustCompile(`line (\d+)`)

func addSyntax(ps *problems, err error) {
	line := 1
	if m := yamlLine.FindStringSubmatch(err.Error()); m != nil {
		line, _ = strconv.Atoi(m[1])
	}
	message := strings.TrimPrefix(strings.ReplaceAll(err.Error(), "\n", " "), "yaml: ")
	ps.add(nil, "mend the YAML or JSON syntax; check the indentation first", "the document cannot be read: %s", message)
	ps.list[len(ps.list)-1].Line = max(line, 1)
}
