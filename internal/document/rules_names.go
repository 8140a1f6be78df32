package document

// names refuses names that stand twice.
type names struct {
	problems *problems
	what     string
	first    map[string]path
}

func newNames(ps *problems, what string) *names {
	return &names{problems: ps, what: what, first: make(map[string]path)}
}

// see notes a name and adds a problem if it stood before.
func (n *names) see(at path, name string) {
	if name == "" || n.problems.refused(at) {
		return
	}
	if first, ok := n.first[name]; ok {
		n.problems.add(at, "remove or rename one of them", "is %q, the same %s as %s", name, n.what, first)
		return
	}
	n.first[name] = at
}
