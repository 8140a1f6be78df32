// Package settings reads the settings of a program from flags and environment variables
// into a struct, reports all invalid ones together, and prints the result.
//
// A settings struct has fields of type string, bool, int, float64,
// time.Duration or []string with the tags
//
//	flag:"listen"             flag name; the environment variable is HITCH_LISTEN
//	default:"127.0.0.1:8080"  default in text form
//	usage:"..."               help text, with the unit
//	validate:"required"       rules of go-playground/validator
//	secret:"true"             masked when printed
//
// A flag wins over an environment variable, which wins over the default.
package settings

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/spf13/pflag"
)

// EnvPrefix starts the name of every environment variable of the system.
const EnvPrefix = "HITCH_"

// Field describes one setting.
type Field struct {
	Flag     string
	Env      string
	Default  string
	Usage    string
	Validate string
	Secret   bool
	value    reflect.Value
}

// Fields returns the settings of the struct that target points to, those of embedded
// structs included. Fields without a flag tag are skipped.
func Fields(target any) []Field {
	v := reflect.ValueOf(target).Elem()
	var fields []Field
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if f.Anonymous {
			fields = append(fields, Fields(v.Field(i).Addr().Interface())...)
			continue
		}
		name := f.Tag.Get("flag")
		if name == "" {
			continue
		}
		fields = append(fields, Field{
			Flag:     name,
			Env:      EnvPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_")),
			Default:  f.Tag.Get("default"),
			Usage:    f.Tag.Get("usage"),
			Validate: f.Tag.Get("validate"),
			Secret:   f.Tag.Get("secret") == "true",
			value:    v.Field(i),
		})
	}
	return fields
}

// Register adds a flag for every setting of target to flags. All but booleans are string
// flags, whose text Load converts.
func Register(flags *pflag.FlagSet, target any) {
	for _, f := range Fields(target) {
		usage := fmt.Sprintf("%s (env %s)", f.Usage, f.Env)
		if f.value.Kind() == reflect.Bool {
			flags.Bool(f.Flag, f.Default == "true", usage)
			continue
		}
		flags.String(f.Flag, f.Default, usage)
	}
}
