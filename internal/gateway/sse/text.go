package sse

import "encoding/json"

// appendString appends text as a JSON string. Printable ASCII without characters to
// escape is copied, which avoids an allocation per token; everything else goes through
// encoding/json.
func appendString(dst []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c == '"' || c == '\\' || c > '~' || c == '<' || c == '>' || c == '&' {
			return appendEscaped(dst, text)
		}
	}
	dst = append(dst, '"')
	dst = append(dst, text...)
	return append(dst, '"')
}

// appendEscaped appends text as a JSON string in the encoding of encoding/json.
func appendEscaped(dst []byte, text string) []byte {
	quoted, err := json.Marshal(text)
	if err != nil {
		return append(dst, '"', '"') // strings always marshal
	}
	return append(dst, quoted...)
}
