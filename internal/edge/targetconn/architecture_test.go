package targetconn

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// dialers are the names by which a package could open connections of its own, by package.
var dialers = map[string][]string{
	"net":  {"Dial", "DialTimeout", "DialTCP", "DialIP", "DialUDP", "DialUnix", "Dialer"},
	"http": {"Get", "Head", "Post", "PostForm", "DefaultClient", "DefaultTransport", "Client", "Transport", "NewClientConn"},
	"tls":  {"Dial", "DialWithDialer", "Dialer", "Client"},
	"rpc":  {"Dial", "DialHTTP", "DialHTTPPath", "NewClient"},
	"unix": {"Connect", "Socket"}, "syscall": {"Connect", "Socket"},
}

// mayDial are the files that open connections: to targets, through the gate, and to the store.
// Hosts reach each other through internal/rpcconn.
var mayDial = []string{"internal/edge/targetconn/pool.go", "platform/store.go"}

// forEachSourceFile calls f with the files of the edge process, without tests and stand-ins.
func forEachSourceFile(t *testing.T, f func(path string, file *ast.File)) {
	const root = "../../.."
	files := 0
	for _, dir := range []string{"internal/edge", "platform", "cmd/edge"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			name, err := filepath.Rel(root, path)
			if err != nil || strings.HasPrefix(name, "platform/standin/") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			files++
			f(filepath.ToSlash(name), file)
			return nil
		})
		require.NoError(t, err)
	}
	require.Greater(t, files, 80, "the source files were not found")
}

// Each connection to a target is opened by Pool.Do, behind the gate.
func TestOnlyThePoolDialsTargets(t *testing.T) {
	dialing := make(map[string]bool)
	forEachSourceFile(t, func(path string, file *ast.File) {
		ast.Inspect(file, func(n ast.Node) bool {
			selector, ok := n.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			if pkg, ok := selector.X.(*ast.Ident); ok && slices.Contains(dialers[pkg.Name], selector.Sel.Name) {
				dialing[path] = true
			}
			return true
		})
	})
	for path := range dialing {
		require.Contains(t, mayDial, path, "sends to targets must pass the gate in Pool.Do")
	}
	require.Len(t, dialing, len(mayDial), "the check must find the known dialers")
}

// calledName returns the name of the function or method of this package that a node calls, "" if
// it calls none of the given.
func calledName(n ast.Node, names ...string) string {
	call, ok := n.(*ast.CallExpr)
	if !ok {
		return ""
	}
	name := ""
	switch called := call.Fun.(type) {
	case *ast.Ident:
		name = called.Name
	case *ast.SelectorExpr:
		name = called.Sel.Name
	}
	if !slices.Contains(names, name) {
		return ""
	}
	return name
}

// Within this package, a request is written after doOnce has asked the gate.
func TestOnlyDoOnceWritesRequests(t *testing.T) {
	callers := make(map[string]string)
	forEachSourceFile(t, func(path string, file *ast.File) {
		if !strings.HasPrefix(path, "internal/edge/targetconn/") {
			return
		}
		for _, d := range file.Decls {
			if function, ok := d.(*ast.FuncDecl); ok {
				ast.Inspect(function, func(n ast.Node) bool {
					if name := calledName(n, "writeRequest", "exchange", "doOnce", "dial", "newConn"); name != "" {
						callers[name] += function.Name.Name + " "
					}
					return true
				})
			}
		}
	})
	require.Equal(t, map[string]string{"writeRequest": "exchange ", "exchange": "doOnce ", "doOnce": "doByHelpers doByHelpers Do ", "dial": "Probe get ", "newConn": "dial "}, callers)
}

// The platform's names for what targets state stay in its adapter.
func TestPlatformHeaderNamesStayInItsAdapter(t *testing.T) {
	forEachSourceFile(t, func(path string, file *ast.File) {
		if strings.HasPrefix(path, "platform/headers/") {
			return
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if literal, ok := n.(*ast.BasicLit); ok && literal.Kind == token.STRING {
				for _, name := range []string{"server-leaving", "retry-after", "not-executed"} {
					require.NotContains(t, strings.ToLower(literal.Value), name, path)
				}
			}
			return true
		})
	})
}

// Callers' requests reach the pool through Sender.Send only, which asks the crash guard.
func TestOnlySendersSendCallersRequests(t *testing.T) {
	sending := make(map[string]bool)
	forEachSourceFile(t, func(path string, file *ast.File) {
		ast.Inspect(file, func(n ast.Node) bool {
			literal, ok := n.(*ast.CompositeLit)
			if !ok {
				return true
			}
			if name, ok := literal.Type.(*ast.Ident); ok && name.Name == "Request" && strings.HasPrefix(path, "internal/edge/targetconn/") {
				sending[path] = true
			}
			if selector, ok := literal.Type.(*ast.SelectorExpr); ok && selector.Sel.Name == "Request" {
				if pkg, ok := selector.X.(*ast.Ident); ok && pkg.Name == "targetconn" {
					sending[path] = true
				}
			}
			return true
		})
	})
	require.Equal(t, map[string]bool{"internal/edge/sender.go": true, "platform/engineclient.go": true, "internal/edge/targetconn/forward.go": true}, sending,
		"other requests are control calls, or those of another host, which has asked its crash guard")
}
