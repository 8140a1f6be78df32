package enginemodel

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Identity holds everything that the text of a generation depends on.
type Identity struct {
	Generation string
	Model      string
	Version    string
	Adapter    string
}

// tagDigits is the number of hexadecimal digits of a tag.
const tagDigits = 8

// Tag returns a hash of the identity that the text of every token contains.
func (id Identity) Tag() string {
	sum := xxhash.Sum64String(id.Generation + "\x00" + id.Model + "\x00" + id.Version + "\x00" + id.Adapter)
	return fmt.Sprintf("%0*x", tagDigits, uint32(sum))
}

// TokenText returns the text of a token, " offset.tag", for example " 12.9f3a1c2b". The
// text of a stream thus shows gaps, repetitions and splices of two generations, versions
// or adapters; see CheckText.
func TokenText(id Identity, offset int) string {
	return string(AppendToken(nil, id.Tag(), offset))
}

// AppendToken appends the text of a token to dst and returns the result. The text needs
// no escaping in JSON.
func AppendToken(dst []byte, tag string, offset int) []byte {
	dst = append(dst, ' ')
	dst = strconv.AppendInt(dst, int64(offset), 10)
	dst = append(dst, '.')
	return append(dst, tag...)
}

// ParsedToken holds what the text of a token encodes.
type ParsedToken struct {
	Offset int
	Tag    string
}

// ParseText parses the output of a generation into its tokens.
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

// CheckText verifies that a text consists of the tokens 0, 1, 2 and so on of a single
// generation, with the given tag unless that is empty. It returns the number of tokens.
// With an error it returns the number of tokens before the first wrong one, or 0 if the
// text cannot be parsed.
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
			return i, fmt.Errorf("token %d carries tag %s of another generation, not %s", i, token.Tag, tag)
		}
	}
	return len(tokens), nil
}
