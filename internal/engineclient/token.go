package engineclient

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/rotisserie/eris"

	"corianderhitch/api/engine"
)

// Parts of the JSON encoding of a token event, in the field order of engine.Token.
var (
	tokenPrefix = []byte(`{"generation":"`)
	offsetField = []byte(`","offset":`)
	textField   = []byte(`,"text":"`)
	tokenSuffix = []byte(`"}`)
)

// decodeToken decodes a token event. For speed, the common encoding without escapes is
// decoded without reflection, everything else by encoding/json.
func decodeToken(data []byte) (engine.Token, error) {
	if token, ok := decodeUnescaped(data); ok {
		return token, nil
	}
	var token engine.Token
	if err := json.Unmarshal(data, &token); err != nil {
		return token, eris.Wrap(ErrProtocol, err.Error())
	}
	return token, nil
}

// decodeUnescaped decodes a token event in the common encoding, and returns false for
// any other.
func decodeUnescaped(data []byte) (engine.Token, bool) {
	rest, ok := bytes.CutPrefix(data, tokenPrefix)
	if !ok || bytes.IndexByte(data, '\\') >= 0 {
		return engine.Token{}, false
	}
	generation, rest, ok := bytes.Cut(rest, offsetField)
	if !ok || bytes.IndexByte(generation, '"') >= 0 {
		return engine.Token{}, false
	}
	number, rest, ok := bytes.Cut(rest, textField)
	if !ok {
		return engine.Token{}, false
	}
	text, ok := bytes.CutSuffix(rest, tokenSuffix)
	if !ok || bytes.IndexByte(text, '"') >= 0 {
		return engine.Token{}, false
	}
	offset, err := strconv.Atoi(string(number))
	if err != nil || offset < 0 {
		return engine.Token{}, false
	}
	return engine.Token{Generation: string(generation), Offset: offset, Text: string(text)}, true
}
