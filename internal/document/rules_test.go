package document

import (
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// validSource is a valid document. Each case of invalidCases replaces one part of it.
const validSource = `apiVersion: corianderhitch/v1
environment: trial
objectives: {stallTime: 1, preemptions: 1, interTokenTail: 1}
models:
  - {name: m, versions: [v1, v2], adapters: [x], maxTokens: 100}
classes:
  - {name: desk, priority: 8}
  - {name: spare, priority: 3}
accounts:
  - name: a
    keyHashes: [KEY1]
    limits: {tokensPerMinute: 1000}
    serves:
      - {model: m, version: v1, class: desk}
    services: [s]
  - name: b
    keyHashes: [KEY2]
    services: [s]
services:
  - name: s
    routes:
      - {path: /r, methods: [GET], idempotent: true}
      - {path: /r/hold, methods: [POST], idempotent: false}
placements:
  - {model: m, version: v1, replicas: 1}
`

func editedSource(old, replacement string) string {
	text := strings.Replace(validSource, old, replacement, 1)
	text = strings.ReplaceAll(text, "KEY1", HashKey("one"))
	return strings.ReplaceAll(text, "KEY2", HashKey("two"))
}

// invalidCases each make validSource invalid in one place.
var invalidCases = []struct {
	name, old, replacement string
	path                   string
	line                   int
	message                string
}{
	{"unknown field", "environment: trial", "environment: trial\ncolour: red", "colour", 3, "is no field of a document"},
	{"unknown nested field", "path: /r,", "path: /r, retries: 3,", "services[0].routes[0].retries", 22, "is no field"},
	{"missing field", ", maxTokens: 100", "", "models[0].maxTokens", 5, "is missing"},
	{"wrong API version", "corianderhitch/v1", "corianderhitch/v2", "apiVersion", 1, "write corianderhitch/v1"},
	{"field twice", "environment: trial", "environment: trial\nenvironment: trial", "environment", 2, "appears again on line 3"},
	{"number for text", "versions: [v1, v2]", "versions: [v1, v2, 1.10]", "models[0].versions[2]", 5, "in quotes if it looks like a number"},
	{"empty value", "limits: {tokensPerMinute: 1000}", "limits:", "accounts[0].limits", 12, "is empty"},
	{"infinite number", "stallTime: 1,", "stallTime: .inf,", "objectives.stallTime", 3, "no finite number"},
	{"invalid environment name", "environment: trial", "environment: Trial/../x", "environment", 2, "lower-case"},
	{"priority too high", "priority: 8", "priority: 10", "classes[0].priority", 7, "write 9 or less"},
	{"priority too low", "priority: 8", "priority: -1", "classes[0].priority", 7, "write 0 or more"},
	{"fractional priority", "priority: 8", "priority: 1.5", "classes[0].priority", 7, "write a whole number"},
	{"negative limit", "tokensPerMinute: 1000", "tokensPerMinute: -1", "accounts[0].limits.tokensPerMinute", 12, "write 0 or more"},
	{"impossible limit", "tokensPerMinute: 1000", "tokensPerMinute: 99", "accounts[0].limits.tokensPerMinute", 12, "could never be admitted"},
	{"no weights", "stallTime: 1, preemptions: 1, interTokenTail: 1", "stallTime: 0, preemptions: 0, interTokenTail: 0", "objectives", 3, "only weights of 0"},
	{"negative weight", "stallTime: 1,", "stallTime: -1,", "objectives.stallTime", 3, "write 0 or more"},
	{"bounds in the wrong order", "interTokenTail: 1", "interTokenTail: 1, interTokenMs: 900", "objectives.interTokenMs", 3, "above firstTokenMs"},
	{"account weight of zero", "keyHashes: [KEY2]", "keyHashes: [KEY2]\n    weight: 0", "accounts[1].weight", 18, "write more than 0"},
	{"model twice", "classes:", "  - {name: m, versions: [v1], maxTokens: 1}\nclasses:", "models[1].name", 6, "the same model as models[0].name"},
	{"version twice", "[v1, v2]", "[v1, v1]", "models[0].versions[1]", 5, "the same version"},
	{"adapter twice", "[x]", "[x, x]", "models[0].adapters[1]", 5, "the same adapter"},
	{"class twice", "{name: desk, priority: 8}", "{name: desk, priority: 8}\n  - {name: desk, priority: 7}", "classes[1].name", 8, "the same class"},
	{"class interactive with mayArriveLate", "name: spare", "mayArriveLate: true, name: interactive", "classes[1].mayArriveLate", 8, "choose another name"},
	{"class late without mayArriveLate", "name: spare", "name: late", "classes[1]", 8, "may not arrive late"},
	{"account twice", "name: b", "name: a", "accounts[1].name", 16, "the same account"},
	{"key of two accounts", "KEY2", "KEY1", "accounts[1].keyHashes[0]", 17, "the same key hash"},
	{"plain key", "KEY2", "hk-secret", "accounts[1].keyHashes[0]", 17, "hitchctl key new"},
	{"empty key", "KEY2", HashKey(""), "accounts[1].keyHashes[0]", 17, "hash of an empty key"},
	{"no key", "keyHashes: [KEY2]", "keyHashes: []", "accounts[1].keyHashes", 17, "write at least 1"},
	{"no grant", "    keyHashes: [KEY2]\n    services: [s]", "    keyHashes: [KEY2]", "accounts[1]", 16, "has no grant"},
	{"dangling model", "model: m, version: v1, class", "model: n, version: v1, class", "accounts[0].serves[0].model", 14, "no model of this document"},
	{"dangling version", "version: v1, class", "version: v3, class", "accounts[0].serves[0].version", 14, "no version of model"},
	{"dangling adapter", "class: desk}", "class: desk, adapter: y}", "accounts[0].serves[0].adapter", 14, "no adapter of model"},
	{"dangling class", "class: desk}", "class: dusk}", "accounts[0].serves[0].class", 14, "no class of this document"},
	{"dangling service", "services: [s]", "services: [q]", "accounts[0].services[0]", 15, "no service of this document"},
	{"service granted twice", "services: [s]", "services: [s, s]", "accounts[0].services[1]", 15, "the same service"},
	{"grant that is never used", "class: desk}", "class: desk}\n      - {model: m, version: v1}", "accounts[0].serves[1]", 15, "only the first would ever be used"},
	{"service twice", "placements:", "  - {name: s, routes: [{path: /, methods: [GET], idempotent: true}]}\nplacements:", "services[1].name", 24, "the same service"},
	{"overlapping routes", "path: /r/hold, methods: [POST]", "path: /r/, methods: [POST, GET]", "services[0].routes[1].methods[1]", 23, "overlaps with services[0].routes[0]"},
	{"method twice", "methods: [GET]", "methods: [GET, GET]", "services[0].routes[0].methods[1]", 22, "overlaps"},
	{"unknown method", "methods: [GET]", "methods: [get]", "services[0].routes[0].methods[0]", 22, "write one of GET"},
	{"path with dots", "path: /r/hold", "path: /r/../hold", "services[0].routes[1].path", 23, "no call can match"},
	{"path without slash", "path: /r/hold", "path: r/hold", "services[0].routes[1].path", 23, "starts with /"},
	{"dangling placement", "model: m, version: v1, replicas", "model: n, version: v1, replicas", "placements[0].model", 25, "no model of this document"},
	{"placement twice", "replicas: 1}", "replicas: 1}\n  - {model: m, version: v1, replicas: 2}", "placements[1]", 26, "a second time"},
	{"granted but not placed", "version: v1, replicas", "version: v2, replicas", "accounts[0].serves[0].version", 14, "no placement of model"},
	{"granted but placed nowhere", "replicas: 1}", "replicas: 0}", "accounts[0].serves[0].version", 14, "no placement of model"},
	{"adapter not placed", "class: desk}", "class: desk, adapter: x}", "accounts[0].serves[0].adapter", 14, "does not load"},
	{"negative replicas", "replicas: 1}", "replicas: -1}", "placements[0].replicas", 25, "write 0 or more"},
}

func TestEachRuleNamesFieldLineAndRemedy(t *testing.T) {
	for _, c := range invalidCases {
		t.Run(c.name, func(t *testing.T) {
			require.Contains(t, validSource, c.old)
			_, err := Parse([]byte(editedSource(c.old, c.replacement)))
			var invalid *ValidationError
			require.ErrorAs(t, err, &invalid)
			require.Len(t, invalid.Problems, 1, err)
			p := invalid.Problems[0]
			require.Equal(t, c.path, p.Path)
			require.Equal(t, c.line, p.Line)
			require.NotEmpty(t, p.Remedy)
			require.Contains(t, p.String(), c.message)
		})
	}
	_, err := Parse([]byte(editedSource("", "")))
	require.NoError(t, err)
}

func TestAllProblemsAreListedInLineOrder(t *testing.T) {
	text := editedSource("priority: 8", "priority: 12")
	text = strings.Replace(text, "environment: trial", "environment: trial\ncolour: red", 1)
	text = strings.Replace(text, "model: m, version: v1, class", "model: n, version: v1, class", 1)
	_, err := Parse([]byte(text))
	var invalid *ValidationError
	require.ErrorAs(t, err, &invalid)
	var paths []string
	for _, p := range invalid.Problems {
		paths = append(paths, p.Path)
	}
	require.Equal(t, []string{"colour", "classes[0].priority", "accounts[0].serves[0].model"}, paths)
	require.ErrorContains(t, err, "document is invalid, 3 problems:\n  line 3: colour")
}

func TestUnreadableSources(t *testing.T) {
	bomb := "a: &a [x, x, x, x, x, x, x, x, x]\n"
	for letter := 'b'; letter <= 'k'; letter++ {
		previous := string(letter - 1)
		bomb += string(letter) + ": &" + string(letter) + " [*" + previous + ", *" + previous + ", *" + previous + ", *" + previous + ", *" + previous + ", *" + previous + ", *" + previous + "]\n"
	}
	cases := map[string]struct {
		text string
		want string
		line int
	}{
		"empty":             {"", "", 1},
		"text":              {"hello", "is a value of type string", 1},
		"list":              {"- a", "is a value of type array", 1},
		"bad indent":        {"a: 1\n b: 2\n", "cannot be read", 2},
		"two documents":     {"a: 1\n---\nb: 2\n", "found multiple", 1},
		"tab":               {"a:\n\tb: 2\n", "cannot be read", 2},
		"truncated JSON":    {`{"apiVersion": "corianderhitch/v1",`, "cannot be read", 1},
		"not UTF-8":         {"a: 1\nb: \xff\n", "save the file as UTF-8", 2},
		"alias to ancestor": {"a: &a [*a]\n", "", 1},
		"alias bomb":        {bomb, "repeats more than", 0},
		"list as key":       {"? [a]\n: b\n", "field name on line 1 that is not text", 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(c.text))
			var invalid *ValidationError
			require.True(t, errors.As(err, &invalid), "%v", err)
			require.ErrorContains(t, err, c.want)
			if c.line > 0 {
				require.Equal(t, c.line, invalid.Problems[0].Line)
			}
		})
	}
}

func TestProblemListIsTruncated(t *testing.T) {
	_, err := Parse([]byte(editedSource("services: [s]", "services: ["+strings.Repeat("q, ", 500)+"]")))
	var invalid *ValidationError
	require.ErrorAs(t, err, &invalid)
	require.Len(t, invalid.Problems, MaxProblems)
	require.Equal(t, 999-MaxProblems, invalid.Omitted)
}
