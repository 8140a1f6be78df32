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

// Error names every bad setting with its remedy.
type Error struct{ Problems []string }

// Error implements error, one line a problem.
func (e *Error) Error() string {
	return "bad settings:\n  " + strings.Join(e.Problems, "\n  ")
}

// Load fills the target from flags, then the environment, then defaults, and
// checks the result. It returns an *Error that names all problems. Environment
// variables that start with EnvPrefix and are no setting of the target are
// refused, except those named in ignore.
func Load(flags *pflag.FlagSet, target any, ignore ...string) error {
	var problems []string
	known := make(map[string]bool)
	for _, name := range ignore {
		known[name] = true
	}
	validate := validator.New()
	for _, f := range Fields(target) {
		known[f.Env] = true
		text, origin := source(flags, f)
		if err := assign(f.value, text); err != nil {
			problems = append(problems, fmt.Sprintf("%s=%q: %v", origin, text, err))
			continue
		}
		problems = append(problems, check(validate, f, origin)...)
	}
	problems = append(problems, unknown(known)...)
	if len(problems) > 0 {
		sort.Strings(problems)
		return &Error{Problems: problems}
	}
	return nil
}

func source(flags *pflag.FlagSet, f Field) (text, origin string) {
	if flag := flags.Lookup(f.Flag); flag != nil && flag.Changed {
		return flag.Value.String(), "--" + f.Flag
	}
	if text, ok := os.LookupEnv(f.Env); ok {
		return text, f.Env
	}
	return f.Default, "--" + f.Flag
}

func assign(v reflect.Value, text string) error {
	switch v.Interface().(type) {
	case string:
		v.SetString(text)
	case bool:
		b, err := strconv.ParseBool(orElse(text, "false"))
		if err != nil {
			return fmt.Errorf("is no boolean; use true or false")
		}
		v.SetBool(b)
	case int:
		n, err := strconv.Atoi(orElse(text, "0"))
		if err != nil {
			return fmt.Errorf("is no whole number; write digits only")
		}
		v.SetInt(int64(n))
	case float64:
		x, err := strconv.ParseFloat(orElse(text, "0"), 64)
		if err != nil {
			return fmt.Errorf("is no number; write for example 0.5")
		}
		v.SetFloat(x)
	case time.Duration:
		d, err := time.ParseDuration(orElse(text, "0s"))
		if err != nil {
			return fmt.Errorf("is no duration; write for example 500ms or 5s")
		}
		v.SetInt(int64(d))
	case []string:
		v.Set(reflect.ValueOf(splitList(text)))
	default:
		return fmt.Errorf("has the unsupported type %s", v.Type())
	}
	return nil
}

func check(validate *validator.Validate, f Field, origin string) []string {
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
			origin, display(f), rule, f.Flag, f.Env, f.Usage))
	}
	return problems
}

func unknown(known map[string]bool) []string {
	var problems []string
	for _, pair := range os.Environ() {
		name, _, _ := strings.Cut(pair, "=")
		if strings.HasPrefix(name, EnvPrefix) && !known[name] {
			problems = append(problems, name+": is no setting of this program; remove it or correct its name")
		}
	}
	return problems
}

func splitList(text string) []string {
	var items []string
	for _, item := range strings.Split(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

func orElse(text, fallback string) string {
	if text == "" {
		return fallback
	}
	return text
}
