package enginemodel

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Identity is what the text of a generation depends on.
type Identity struct {
	Generation string
	Model      string
	Version    string
	Adapter    string
}

// tagDigits is the number of hexadecimal digits of a tag.
const tagDigits = 8

// Tag returns the mark that every token of the generation carries.
func (id Identity) Tag() string {
	sum := xxhash.Sum64String(id.Generation + "\x00" + id.Model + "\x00" + id.Version + "\x00" + id.Adapter)
	return fmt.Sprintf("%0*x", tagDigits, uint32(sum))
}

// TokenText returns the text of a token, " offset.tag", for example
// " 12.9f3a1c2b". A stream with a gap, a repetition or a splice of two
// generations, versions or adapters is visible in its text; see CheckText.
func TokenText(id Identity, offset int) string {
	return string(AppendToken(nil, id.Tag(), offset))
}

// AppendToken appends the text of a token to dst. The text needs no escaping in
// JSON.
func AppendToken(dst []byte, tag string, offset int) []byte {
	dst = append(dst, ' ')
	dst = strconv.AppendInt(dst, int64(offset), 10)
	dst = append(dst, '.')
	return append(dst, tag...)
}

// ParsedToken is a token as its text tells it.
type ParsedToken struct {
	Offset int
	Tag    string
}

// ParseText splits a text into its tokens.
func ParseText(text string) ([]ParsedToken, error) {
	fields := strings.Fields(text)
	tokens := make([]ParsedToken, len(fields))
	for i, field := range fields {
		number, tag, found := strings.Cut(field, ".")
		offset, err := strconv.Atoi(number)
		if err != nil || !found || len(tag) != tagDigits {
			return nil, fmt.Errorf("token %d: %q is not of the form offset.tag", i, field)
		}
		tokens[i] = ParsedToken{Offset: offset, Tag: tag}
	}
	return tokens, nil
}

// CheckText verifies that a text holds the tokens 0, 1, 2 and so on of one
// single generation, and returns their number. The tag is checked if it is not
// empty.
func CheckText(text, tag string) (int, error) {
	tokens, err := ParseText(text)
	if err != nil {
		return 0, err
	}
	for i, token := range tokens {
		if tag == "" {
			tag = token.Tag
		}
		if token.Offset != i {
			return i, fmt.Errorf("token %d has offset %d", i, token.Offset)
		}
		if token.Tag != tag {
			return i, fmt.Errorf("token %d carries tag %s of another generation than %s", i, token.Tag, tag)
		}
	}
	return len(tokens), nil
}
