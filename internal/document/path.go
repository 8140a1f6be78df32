package document

import (
	"strconv"
	"strings"
)

// path locates a value in a document by field names and list indices.
type path []string

// field returns the path of a field below p.
func (p path) field(name string) path { return append(p[:len(p):len(p)], name) }

// index returns the path of a list entry below p.
func (p path) index(i int) path { return append(p[:len(p):len(p)], strconv.Itoa(i)) }

// String returns the path as operators write it: "accounts[3].serves[0].model".
func (p path) String() string {
	var b strings.Builder
	for _, step := range p {
		if isIndex(step) {
			b.WriteString("[" + step + "]")
			continue
		}
		if b.Len() > 0 {
			b.WriteByte('.')
		}
		b.WriteString(quoteStep(step))
	}
	return b.String()
}

// quoteStep shortens long field names and quotes those with special characters.
func quoteStep(step string) string {
	const maxBytes = 40
	if len(step) > maxBytes {
		step = step[:maxBytes] + "..."
	}
	quoted := strconv.Quote(step)
	if quoted == `"`+step+`"` && step != "" {
		return step
	}
	return quoted
}

func isIndex(step string) bool {
	if step == "" {
		return false
	}
	for _, c := range step {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}
