package document

import (
	"math"
	"strconv"

	"go.yaml.in/yaml/v4"
)

// Bounds of a document's tree. Aliases of YAML can make a short source expand
// without end, so the values that they repeat are counted.
const (
	maxRepeated = 100_000
	maxDepth    = 32 // documents of the schema are eight levels deep
)

// converter turns a YAML tree into the generic value that JSON would give.
type converter struct {
	problems *problems
	aliases  int // aliases around the value being converted
	repeated int // values converted inside aliases
	gaveUp   bool
}

func (c *converter) convert(at path, n *yaml.Node) any {
	if c.aliases > 0 {
		c.repeated++
	}
	if c.repeated > maxRepeated || len(at) > maxDepth {
		c.giveUp(at)
	}
	if c.gaveUp {
		return nil
	}
	switch n.Kind {
	case yaml.DocumentNode:
		if len(n.Content) == 0 {
			return nil
		}
		return c.convert(at, n.Content[0])
	case yaml.AliasNode:
		return c.alias(at, n)
	case yaml.MappingNode:
		return c.mapping(at, n)
	case yaml.SequenceNode:
		list := make([]any, 0, len(n.Content))
		for i, item := range n.Content {
			list = append(list, c.convert(at.index(i), item))
		}
		return list
	case yaml.ScalarNode:
		return c.scalar(at, n)
	}
	return nil
}

// alias repeats the value that an alias names.
func (c *converter) alias(at path, n *yaml.Node) any {
	if n.Alias == nil {
		return nil
	}
	c.aliases++
	defer func() { c.aliases-- }()
	return c.convert(at, n.Alias)
}

func (c *converter) mapping(at path, n *yaml.Node) any {
	fields := make(map[string]any, len(n.Content)/2)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		if key.Kind != yaml.ScalarNode {
			c.problems.add(at, "use plain field names", "has a field name on line %d that is no text", key.Line)
			continue
		}
		if _, twice := fields[key.Value]; twice {
			c.problems.add(at.field(key.Value), "keep one of the two", "appears again on line %d", key.Line)
			continue
		}
		fields[key.Value] = c.convert(at.field(key.Value), value)
	}
	return fields
}

// scalar decodes numbers, booleans and nulls; everything else, dates included,
// stays the text that was written.
func (c *converter) scalar(at path, n *yaml.Node) any {
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
			c.problems.refuse(at, "write a finite number", "is no finite number")
			return nil
		}
		return f
	}
	return n.Value
}

func (c *converter) giveUp(at path) {
	if !c.gaveUp {
		c.gaveUp = true
		c.problems.add(at, "use fewer levels and aliases", "nests more than %d levels deep or repeats more than %d values", maxDepth, maxRepeated)
	}
}

// lineOf returns the line of the value at a path, or of the nearest value
// around it that the source has.
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
// whose line stands for it: the field name, or the list entry itself.
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
