package cli

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func operationsPage(t *testing.T) string {
	t.Helper()
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	return string(page)
}

// problemKinds reads the kinds from the source file, so that the list is complete.
func problemKinds(t *testing.T) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "../../api/problem/kind.go", nil, 0)
	require.NoError(t, err)
	var kinds []string
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || !strings.HasPrefix(spec.Names[0].Name, "Kind") {
			return true
		}
		text, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		require.NoError(t, err)
		kinds = append(kinds, text)
		return true
	})
	require.Greater(t, len(kinds), 20)
	return kinds
}

func TestOperationsPageExplainsEveryProblemKind(t *testing.T) {
	page := operationsPage(t)
	for _, kind := range problemKinds(t) {
		require.Equal(t, 1, strings.Count(page, "\n| `"+kind+"` | "), "a row of the table explains %s", kind)
	}
}

func TestOperationsPageExplainsEveryExitCode(t *testing.T) {
	page := operationsPage(t)
	for _, code := range []int{ExitOK, ExitError, ExitUsage, ExitInvalid, ExitConflict, ExitUnreachable} {
		require.Contains(t, page, fmt.Sprintf("\n| %d | ", code))
	}
}

func TestOperationsPageNamesExistingCommands(t *testing.T) {
	root := (&app{}).root()
	for _, part := range strings.Split(operationsPage(t), "`hitchctl ")[1:] {
		command, _, _ := strings.Cut(part, "`")
		words := strings.Fields(command)
		if words[0] == "completion" {
			continue // cobra adds it during execution
		}
		found, _, err := root.Find(words)
		require.NoError(t, err, command)
		require.NotEqual(t, root, found, command)
		for _, word := range words {
			if name, isFlag := strings.CutPrefix(word, "--"); isFlag {
				require.True(t, found.Flags().Lookup(name) != nil || root.PersistentFlags().Lookup(name) != nil, "%s: --%s", command, name)
			}
		}
	}
}

func TestOperationsPageNamesExistingMetrics(t *testing.T) {
	var source strings.Builder
	for _, pattern := range []string{"../gateway/metrics/*.go", "../agent/*.go", "../edge/metrics/*.go"} {
		files, err := filepath.Glob(pattern)
		require.NoError(t, err)
		for _, file := range files {
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			source.WriteString(strings.ReplaceAll(string(text), ".", "_")) // the exporter replaces dots too
		}
	}
	names := regexp.MustCompile(`hitch_[a-z_]+`).FindAllString(operationsPage(t), -1)
	require.NotEmpty(t, names)
	for _, name := range names {
		base := name
		for _, ending := range []string{"_total", "_seconds", "_milliseconds"} { // the exporter appends units
			base = strings.TrimSuffix(base, ending)
		}
		require.Contains(t, source.String(), `"`+base+`"`, "metric %s", name)
	}
}
