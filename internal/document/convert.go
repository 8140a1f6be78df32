package document

import (
	"math"
	"strconv"

	"go.yaml.in/yaml/v4"
)

// Limits of a document's tree. YAML aliases can make a short source expand
// exponentially or without end, so the values converted inside aliases are counted.
const (
	maxValuesInAliases = 100_000
	maxDepth           = 32 // the schema allows eight levels
)

// converter turns a YAML tree into the value that encoding/json would decode into
// an empty interface.
type converter struct {
	problems        *problems
	aliasDepth      int // number of aliases that enclose the value being converted
	valuesInAliases int // values converted inside aliases
	aborted         bool
}

// convert returns the value of a YAML node, or nil once the conversion has been
// aborted.
func (c *converter) convert(at path, n *yaml.Node) any {
	if c.aliasDepth > 0 {
		c.valuesInAliases++
	}
	if c.valuesInAliases > maxValuesInAliases || len(at) > maxDepth {
		c.abort(at)
	}
	if c.aborted {
		return nil
	}
	switch n.Kind {
	case yaml.DocumentNode:
		if len(n.Content) == 0 {
			return nil
		}
		return c.convert(at, n.Content[0])
	case yaml.AliasNode:
		return c.convertAlias(at, n)
	case yaml.MappingNode:
		return c.convertMapping(at, n)
	case yaml.SequenceNode:
		list := make([]any, 0, len(n.Content))
		for i, item := range n.Content {
			list = append(list, c.convert(at.index(i), item))
		}
		return list
	case yaml.ScalarNode:
		return c.convertScalar(at, n)
	}
	return nil
}

// convertAlias converts the value that an alias refers to.
func (c *converter) convertAlias(at path, n *yaml.Node) any {
	if n.Alias == nil {
		return nil
	}
	c.aliasDepth++
	defer func() { c.aliasDepth-- }()
	return c.convert(at, n.Alias)
}

// convertMapping converts a mapping. It reports field names that are not text or
// appear twice.
func (c *converter) convertMapping(at path, n *yaml.Node) any {
	fields := make(map[string]any, len(n.Content)/2)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		if key.Kind != yaml.ScalarNode {
			c.problems.add(at, "use plain field names", "has a field name on line %d that is not text", key.Line)
			continue
		}
		if _, duplicate := fields[key.Value]; duplicate {
			c.problems.add(at.field(key.Value), "keep one of the two", "appears again on line %d", key.Line)
			continue
		}
		fields[key.Value] = c.convert(at.field(key.Value), value)
	}
	return fields
}

// convertScalar decodes numbers, booleans and nulls; everything else, including
// dates, stays the text of the source.
func (c *converter) convertScalar(at path, n *yaml.Node) any {
	switch n.ShortTag() {
	case "!!null":
		return nil
	case "!!bool":
		var b bool
		if n.Decode(&b) == nil {
			return b
		}
	case "!!int", "!!float":
		var f float64
		if n.Decode(&f) != nil {
			break
		}
		if math.IsNaN(f) || math.IsInf(f, 0) {
			c.problems.addInvalid(at, "write a finite number", "is no finite number")
			return nil
		}
		return f
	}
	return n.Value
}

func (c *converter) abort(at path) {
	if !c.aborted {
		c.aborted = true
		c.problems.add(at, "use fewer levels and aliases", "nests more than %d levels deep or repeats more than %d values", maxDepth, maxValuesInAliases)
	}
}

// lineOf returns the line of the value at a path, or of the innermost enclosing
// value that exists in the source.
func lineOf(n *yaml.Node, at path) int {
	line := max(n.Line, 1)
	for {
		switch {
		case n.Kind == yaml.DocumentNode && len(n.Content) > 0:
			n = n.Content[0]
			continue
		case n.Kind == yaml.AliasNode && n.Alias != nil:
			n = n.Alias
			continue
		case len(at) == 0:
			return line
		}
		key, next := child(n, at[0])
		if next == nil {
			return line
		}
		line = max(key.Line, 1)
		n, at = next, at[1:]
	}
}

// child returns the node below n that one step of a path names, and the node
// whose line is reported for it: the field name, or the list entry itself.
func child(n *yaml.Node, step string) (key, value *yaml.Node) {
	switch n.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(n.Content); i += 2 {
			if n.Content[i].Value == step {
				return n.Content[i], n.Content[i+1]
			}
		}
	case yaml.SequenceNode:
		i, err := strconv.Atoi(step)
		if err == nil && i >= 0 && i < len(n.Content) {
			return n.Content[i], n.Content[i]
		}
	}
	return nil, nil
}
