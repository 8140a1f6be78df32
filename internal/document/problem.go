package document

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one fault of a document, with its location and how to correct it.
type Problem struct {
	Path    string `json:"path"`           // for example "accounts[3].serves[0].model"; empty for the whole document
	Line    int    `json:"line,omitempty"` // line in the source, from 1; 0 if there is no source
	Message string `json:"message"`        // what is wrong, to be read after Path
	Remedy  string `json:"remedy"`         // how to correct it
}

// String returns the problem on one line.
func (p Problem) String() string {
	var b strings.Builder
	if p.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", p.Line)
	}
	if p.Path != "" {
		b.WriteString(p.Path + " ")
	}
	b.WriteString(p.Message + "; " + p.Remedy)
	return b.String()
}

// ValidationError lists all problems of a document, in line order.
type ValidationError struct {
	Problems []Problem
	// Omitted counts problems beyond MaxProblems that are not listed.
	Omitted int
}

// Error implements error, with one line per problem.
func (e *ValidationError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "document is invalid, %d problems:", len(e.Problems)+e.Omitted)
	for _, p := range e.Problems {
		b.WriteString("\n  " + p.String())
	}
	if e.Omitted > 0 {
		fmt.Fprintf(&b, "\n  and %d more; mend those above first", e.Omitted)
	}
	return b.String()
}

// MaxProblems limits the list of a ValidationError, so that the error of a large
// document with many faults stays readable.
const MaxProblems = 200

// problems collects the problems of one document.
type problems struct {
	list         []pendingProblem
	invalidPaths map[string]bool // paths of values that the schema check or the converter reported
}

// pendingProblem is a problem whose line may not be known yet.
type pendingProblem struct {
	at path
	Problem
}

func (ps *problems) add(at path, remedy, message string, args ...any) {
	ps.list = append(ps.list, pendingProblem{at: at, Problem: Problem{
		Path:    at.String(),
		Message: fmt.Sprintf(message, args...),
		Remedy:  remedy,
	}})
}

// addInvalid adds a problem and marks the value as invalid, so that later checks
// skip it instead of reporting consequences of the same fault.
func (ps *problems) addInvalid(at path, remedy, message string, args ...any) {
	if ps.isInvalid(at) {
		return
	}
	if ps.invalidPaths == nil {
		ps.invalidPaths = make(map[string]bool)
	}
	ps.invalidPaths[at.String()] = true
	ps.add(at, remedy, message, args...)
}

// isInvalid reports whether the value at a path, or one that contains it, was
// marked as invalid.
func (ps *problems) isInvalid(at path) bool {
	if len(ps.invalidPaths) == 0 {
		return false
	}
	for n := len(at); n > 0; n-- {
		if ps.invalidPaths[at[:n].String()] {
			return true
		}
	}
	return false
}

// result returns the collected problems in line order as a *ValidationError, or
// nil. lines returns the line of a path.
func (ps *problems) result(lines func(path) int) error {
	if len(ps.list) == 0 {
		return nil
	}
	e := &ValidationError{}
	for _, p := range ps.list {
		if p.Line == 0 {
			p.Line = lines(p.at)
		}
		e.Problems = append(e.Problems, p.Problem)
	}
	sort.SliceStable(e.Problems, func(i, j int) bool { return e.Problems[i].Line < e.Problems[j].Line })
	if over := len(e.Problems) - MaxProblems; over > 0 {
		e.Problems = e.Problems[:MaxProblems]
		e.Omitted = over
	}
	return e
}
