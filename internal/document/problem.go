package document

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one fault of a document, with the place where it stands and what
// to do about it.
type Problem struct {
	Path    string `json:"path"`           // for example "accounts[3].serves[0].model"; empty for the whole document
	Line    int    `json:"line,omitempty"` // line in the source, from 1; 0 if there is no source
	Message string `json:"message"`        // what is wrong
	Remedy  string `json:"remedy"`         // what to do
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

// ValidationError lists all problems of a document at once, in line order.
type ValidationError struct {
	Problems []Problem
	// Omitted counts problems beyond MaxProblems that are not listed.
	Omitted int
}

// Error implements error, with one line a problem.
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

// MaxProblems bounds the list of a ValidationError, so that the answer to a
// large and thoroughly broken document stays readable.
const MaxProblems = 200

// problems collects what is wrong with one document.
type problems struct {
	list  []located
	paths map[string]bool // paths whose value the schema or the converter refused
}

// located is a problem whose line is not known yet.
type located struct {
	at path
	Problem
}

func (ps *problems) add(at path, remedy, message string, args ...any) {
	ps.list = append(ps.list, located{at: at, Problem: Problem{
		Path:    at.String(),
		Message: fmt.Sprintf(message, args...),
		Remedy:  remedy,
	}})
}

// refuse adds a problem and hides later ones of the same value, which would
// only repeat it.
func (ps *problems) refuse(at path, remedy, message string, args ...any) {
	if ps.refused(at) {
		return
	}
	if ps.paths == nil {
		ps.paths = make(map[string]bool)
	}
	ps.paths[at.String()] = true
	ps.add(at, remedy, message, args...)
}

// refused tells whether the value at a path, or one that holds it, was refused.
func (ps *problems) refused(at path) bool {
	if len(ps.paths) == 0 {
		return false
	}
	for n := len(at); n > 0; n-- {
		if ps.paths[at[:n].String()] {
			return true
		}
	}
	return false
}

// result returns the collected problems in line order, or nil.
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
