package document

// uniqueNames reports duplicate names.
type uniqueNames struct {
	problems *problems
	kind     string
	first    map[string]path
}

func newUniqueNames(ps *problems, kind string) *uniqueNames {
	return &uniqueNames{problems: ps, kind: kind, first: make(map[string]path)}
}

// add records a name and adds a problem if it was recorded before.
func (n *uniqueNames) add(at path, name string) {
	if name == "" || n.problems.isInvalid(at) {
		return
	}
	if first, ok := n.first[name]; ok {
		n.problems.add(at, "remove or rename one of them", "is %q, the same %s as %s", name, n.kind, first)
		return
	}
	n.first[name] = at
}
