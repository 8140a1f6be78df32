package capacity

import (
	"strings"

	"github.com/rotisserie/eris"
)

// Markers of a generated block: beginMarker, name, closeMarker, content, endMarker.
const (
	beginMarker = "<!-- generated: "
	endMarker   = "<!-- end -->"
	closeMarker = " -->\n"
)

// replaceBlocks replaces the contents of the named blocks of a page. It fails if a
// block is missing.
func replaceBlocks(page string, blocks map[string]string) (string, error) {
	for name, content := range blocks {
		begin := beginMarker + name + closeMarker
		before, rest, found := strings.Cut(page, begin)
		if !found {
			return "", eris.Errorf("capacity: the page has no block %q; add %q and %q", name, strings.TrimSpace(begin), endMarker)
		}
		_, after, found := strings.Cut(rest, endMarker)
		if !found {
			return "", eris.Errorf("capacity: the block %q has no end; add %q", name, endMarker)
		}
		page = before + begin + "\n" + content + "\n" + endMarker + after
	}
	return page, nil
}

// markdownTable formats rows as a Markdown table. The first row is the header.
func markdownTable(rows [][]string) string {
	var b strings.Builder
	for i, row := range rows {
		b.WriteString("| " + strings.Join(row, " | ") + " |\n")
		if i == 0 {
			b.WriteString(strings.Repeat("|---", len(row)) + "|\n")
		}
	}
	return b.String()
}
