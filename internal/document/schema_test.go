package document

import (
	"encoding/json"
	"reflect"
	"sort"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// schemaType is the part of a schema that must agree with the Go types.
type schemaType struct {
	Type                 string
	Ref                  string `json:"$ref"`
	Const, Enum          any
	AdditionalProperties *bool
	Required             []string
	Properties           map[string]schemaType
	Items                *schemaType
}

type schemaFile struct {
	Defs map[string]schemaType `json:"$defs"`
}

func TestSchemaMatchesTheTypes(t *testing.T) {
	var file schemaFile
	require.NoError(t, json.Unmarshal(Schema(), &file))
	seen := make(map[reflect.Type]bool)
	checkType(t, file.Defs, reflect.TypeFor[Document](), seen)
	for name := range file.Defs {
		if name != "Name" && name != "Label" {
			found := false
			for typ := range seen {
				found = found || typ.Name() == name
			}
			require.True(t, found, "schema type %s has no Go type", name)
		}
	}
}

func checkType(t *testing.T, defs map[string]schemaType, typ reflect.Type, seen map[reflect.Type]bool) {
	if seen[typ] {
		return
	}
	seen[typ] = true
	schema, ok := defs[typ.Name()]
	require.True(t, ok, "no schema for %s", typ.Name())
	require.NotNil(t, schema.AdditionalProperties, typ.Name())
	require.False(t, *schema.AdditionalProperties, typ.Name())
	var fields, required []string
	for i := range typ.NumField() {
		field := typ.Field(i)
		name, options, _ := strings.Cut(field.Tag.Get("json"), ",")
		yamlName, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		require.Equal(t, name, yamlName, "%s.%s", typ.Name(), field.Name)
		fields = append(fields, name)
		if options != "omitempty" {
			required = append(required, name)
		}
		property, ok := schema.Properties[name]
		require.True(t, ok, "%s.%s is not in the schema", typ.Name(), name)
		checkKind(t, defs, field.Type, property, typ.Name()+"."+name, seen)
	}
	require.Equal(t, sorted(fields), sortedKeys(schema.Properties), typ.Name())
	require.Equal(t, sorted(required), sorted(schema.Required), typ.Name())
}

func checkKind(t *testing.T, defs map[string]schemaType, typ reflect.Type, property schemaType, where string, seen map[reflect.Type]bool) {
	kinds := map[reflect.Kind]string{reflect.String: "string", reflect.Int: "integer", reflect.Float64: "number", reflect.Bool: "boolean"}
	switch {
	case typ.Kind() == reflect.Slice:
		require.Equal(t, "array", property.Type, where)
		require.NotNil(t, property.Items, where)
		checkKind(t, defs, typ.Elem(), *property.Items, where, seen)
	case typ.Kind() == reflect.Struct:
		require.Equal(t, "#/$defs/"+typ.Name(), property.Ref, where)
		checkType(t, defs, typ, seen)
	case property.Ref != "":
		checkKind(t, defs, typ, defs[strings.TrimPrefix(property.Ref, "#/$defs/")], where, seen)
	case property.Const != nil || property.Enum != nil:
		require.Equal(t, reflect.String, typ.Kind(), where)
	default:
		require.Equal(t, kinds[typ.Kind()], property.Type, where)
	}
}

func sorted(list []string) []string {
	sort.Strings(list)
	return list
}

func sortedKeys(m map[string]schemaType) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	return sorted(keys)
}
