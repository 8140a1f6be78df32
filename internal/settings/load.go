package settings

import (
	"fmt"
	"os"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/spf13/pflag"
)

// Error reports every invalid setting with its remedy.
type Error struct{ Problems []string }

// Error implements error, with one line per problem.
func (e *Error) Error() string {
	return "invalid settings:\n  " + strings.Join(e.Problems, "\n  ")
}

// Load fills the struct that target points to and validates it. A value comes from the
// flag if it was given, else from the environment variable, else from the default. Load
// returns an *Error that names all problems. An environment variable that starts with
// EnvPrefix but is not a setting of the target is an error, as it is probably misspelled;
// those named in ignore are not.
func Load(flags *pflag.FlagSet, target any, ignore ...string) error {
	var problems []string
	known := make(map[string]bool)
	for _, name := range ignore {
		known[name] = true
	}
	validate := validator.New()
	for _, f := range Fields(target) {
		known[f.Env] = true
		text, origin := lookupValue(flags, f)
		if err := setValue(f.value, text); err != nil {
			problems = append(problems, fmt.Sprintf("%s=%q: %v", origin, text, err))
			continue
		}
		problems = append(problems, validateField(validate, f, origin)...)
	}
	problems = append(problems, unknownVariables(known)...)
	if len(problems) > 0 {
		sort.Strings(problems)
		return &Error{Problems: problems}
	}
	return nil
}

// lookupValue returns the text of a setting and the flag or variable it comes from.
func lookupValue(flags *pflag.FlagSet, f Field) (text, origin string) {
	if flag := flags.Lookup(f.Flag); flag != nil && flag.Changed {
		return flag.Value.String(), "--" + f.Flag
	}
	if text, ok := os.LookupEnv(f.Env); ok {
		return text, f.Env
	}
	return f.Default, "--" + f.Flag
}

// setValue converts text to the type of v and sets it. An empty text is the zero value.
func setValue(v reflect.Value, text string) error {
	switch v.Interface().(type) {
	case string:
		v.SetString(text)
	case bool:
		b, err := strconv.ParseBool(orDefault(text, "false"))
		if err != nil {
			return fmt.Errorf("is not a boolean; use true or false")
		}
		v.SetBool(b)
	case int:
		n, err := strconv.Atoi(orDefault(text, "0"))
		if err != nil {
			return fmt.Errorf("is not a whole number; write digits only")
		}
		v.SetInt(int64(n))
	case float64:
		x, err := strconv.ParseFloat(orDefault(text, "0"), 64)
		if err != nil {
			return fmt.Errorf("is not a number; write for example 0.5")
		}
		v.SetFloat(x)
	case time.Duration:
		d, err := time.ParseDuration(orDefault(text, "0s"))
		if err != nil {
			return fmt.Errorf("is not a duration; write for example 500ms or 5s")
		}
		v.SetInt(int64(d))
	case []string:
		v.Set(reflect.ValueOf(splitList(text)))
	default:
		return fmt.Errorf("has the unsupported type %s", v.Type())
	}
	return nil
}

// validateField checks a value against its validation rules and returns the problems.
func validateField(validate *validator.Validate, f Field, origin string) []string {
	if f.Validate == "" {
		return nil
	}
	err := validate.Var(f.value.Interface(), f.Validate)
	if err == nil {
		return nil
	}
	var problems []string
	for _, e := range err.(validator.ValidationErrors) {
		rule := e.Tag()
		if e.Param() != "" {
			rule += "=" + e.Param()
		}
		problems = append(problems, fmt.Sprintf("%s=%q: breaks the rule %q; set --%s or %s: %s",
			origin, displayValue(f), rule, f.Flag, f.Env, f.Usage))
	}
	return problems
}

// unknownVariables returns a problem for each environment variable with EnvPrefix that is
// not known.
func unknownVariables(known map[string]bool) []string {
	var problems []string
	for _, pair := range os.Environ() {
		name, _, _ := strings.Cut(pair, "=")
		if strings.HasPrefix(name, EnvPrefix) && !known[name] {
			problems = append(problems, name+": is not a setting of this program; remove it or correct its name")
		}
	}
	return problems
}

// splitList splits text at commas, trims the items and drops empty ones.
func splitList(text string) []string {
	var items []string
	for _, item := range strings.Split(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

func orDefault(text, fallback string) string {
	if text == "" {
		return fallback
	}
	return text
}
