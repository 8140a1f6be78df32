package engineclient

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/rotisserie/eris"

	"corianderhitch/api/engine"
)

// Parts of the usual encoding of a token event, in the order of engine.Token.
var (
	tokenHead   = []byte(`{"generation":"`)
	tokenOffset = []byte(`","offset":`)
	tokenText   = []byte(`,"text":"`)
	tokenTail   = []byte(`"}`)
)

// decodeToken reads a token event. The usual encoding without escapes is read
// without reflection, everything else by encoding/json.
func decodeToken(data []byte) (engine.Token, error) {
	if token, ok := quickToken(data); ok {
		return token, nil
	}
	var token engine.Token
	if err := json.Unmarshal(data, &token); err != nil {
		return token, eris.Wrap(ErrProtocol, err.Error())
	}
	return token, nil
}

func quickToken(data []byte) (engine.Token, bool) {
	rest, ok := bytes.CutPrefix(data, tokenHead)
	if !ok || bytes.IndexByte(data, '\\') >= 0 {
		return engine.Token{}, false
	}
	generation, rest, ok := bytes.Cut(rest, tokenOffset)
	if !ok || bytes.IndexByte(generation, '"') >= 0 {
		return engine.Token{}, false
	}
	number, rest, ok := bytes.Cut(rest, tokenText)
	if !ok {
		return engine.Token{}, false
	}
	text, ok := bytes.CutSuffix(rest, tokenTail)
	if !ok || bytes.IndexByte(text, '"') >= 0 {
		return engine.Token{}, false
	}
	offset, err := strconv.Atoi(string(number))
	if err != nil || offset < 0 {
		return engine.Token{}, false
	}
	return engine.Token{Generation: string(generation), Offset: offset, Text: string(text)}, true
}
