package document

import (
	"bytes"
	_ "embed" // embeds the schema
	"errors"
	"fmt"
	"math/big"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
)

//go:embed schema.json
var schemaSource []byte

// Schema returns the JSON Schema of documents, for editors and other tools.
func Schema() []byte { return bytes.Clone(schemaSource) }

// schemaURL identifies the schema inside the compiler; nothing is fetched.
const schemaURL = "urn:corianderhitch:schema:document:v1"

var compiledSchema = sync.OnceValues(func() (*jsonschema.Schema, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaSource))
	if err != nil {
		return nil, fmt.Errorf("document: embedded schema is not valid JSON: %w", err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaURL, doc); err != nil {
		return nil, fmt.Errorf("document: cannot add the embedded schema: %w", err)
	}
	return compiler.Compile(schemaURL)
})

// checkSchema adds a problem for each violation of the JSON Schema by the value.
func checkSchema(ps *problems, value any) {
	schema, err := compiledSchema()
	if err != nil {
		ps.add(nil, "rebuild the program from a clean checkout", "cannot be checked: %v", err)
		return
	}
	err = schema.Validate(value)
	var invalid *jsonschema.ValidationError
	if errors.As(err, &invalid) {
		addSchemaError(ps, invalid)
	}
}

// addSchemaError adds a problem for the violation, or for each of its causes if it has
// any.
func addSchemaError(ps *problems, e *jsonschema.ValidationError) {
	if len(e.Causes) > 0 {
		for _, cause := range e.Causes {
			addSchemaError(ps, cause)
		}
		return
	}
	at := path(e.InstanceLocation)
	switch k := e.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		for _, name := range k.Properties {
			ps.addInvalid(at.field(name), "remove it or correct its name", "is no field of a document")
		}
	case *kind.Required:
		for _, name := range k.Missing {
			ps.addInvalid(at.field(name), "add it", "is missing")
		}
	default:
		message, remedy := explainSchemaError(e.ErrorKind)
		ps.addInvalid(at, remedy, "%s", message)
	}
}

// explainSchemaError describes an error of the schema library for operators.
func explainSchemaError(k jsonschema.ErrorKind) (message, remedy string) {
	switch k := k.(type) {
	case *kind.Type:
		return typeMessage(k), "write " + typeRemedy(k.Want)
	case *kind.Const:
		return fmt.Sprintf("is %q", fmt.Sprint(k.Got)), fmt.Sprintf("write %v", k.Want)
	case *kind.Enum:
		return fmt.Sprintf("is %q", fmt.Sprint(k.Got)), "write one of " + joinValues(k.Want)
	case *kind.Pattern:
		return fmt.Sprintf("is %q", shorten(k.Got)), patternRemedy(k.Want)
	case *kind.MaxLength:
		return fmt.Sprintf("has %d characters", k.Got), fmt.Sprintf("write at most %d", k.Want)
	case *kind.MinItems:
		return fmt.Sprintf("has %d entries", k.Got), fmt.Sprintf("write at least %d", k.Want)
	case *kind.MaxItems:
		return fmt.Sprintf("has %d entries", k.Got), fmt.Sprintf("write at most %d", k.Want)
	case *kind.Minimum:
		return "is " + formatNumber(k.Got), "write " + formatNumber(k.Want) + " or more"
	case *kind.Maximum:
		return "is " + formatNumber(k.Got), "write " + formatNumber(k.Want) + " or less"
	case *kind.ExclusiveMinimum:
		return "is " + formatNumber(k.Got), "write more than " + formatNumber(k.Want)
	}
	return "breaks the rule " + strings.Join(k.KeywordPath(), "/"), "see the field's description in the schema"
}

func typeMessage(k *kind.Type) string {
	if k.Got == "null" {
		return "is empty"
	}
	return "is a value of type " + k.Got
}

func typeRemedy(types []string) string {
	remedies := map[string]string{
		"string":  "text (in quotes if it looks like a number)",
		"integer": "a whole number",
		"number":  "a number",
		"boolean": "true or false",
		"array":   "a list, or remove the field",
		"object":  "fields, or remove it",
	}
	var out []string
	for _, t := range types {
		out = append(out, remedies[t])
	}
	return strings.Join(out, " or ")
}

func patternRemedy(pattern string) string {
	switch {
	case strings.HasPrefix(pattern, "^sha256:"):
		return "write sha256: and 64 hex digits, as printed by hitchctl key new"
	case strings.HasPrefix(pattern, "^/"):
		return "write a path that starts with / and has no ?, # or blank"
	case strings.HasPrefix(pattern, "^[a-z0-9]"):
		return "use at most 63 lower-case letters, digits and hyphens"
	}
	return "use at most 128 letters, digits and . _ : -, starting with a letter or digit"
}

func joinValues(values []any) string {
	words := make([]string, 0, len(values))
	for _, v := range values {
		words = append(words, fmt.Sprint(v))
	}
	return strings.Join(words, ", ")
}

func shorten(text string) string {
	const maxBytes = 40
	if len(text) > maxBytes {
		return text[:maxBytes] + "..."
	}
	return text
}

func formatNumber(r *big.Rat) string {
	f, _ := r.Float64()
	return fmt.Sprintf("%v", f)
}
