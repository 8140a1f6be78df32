// Package resumetoken signs and verifies resume tokens: the opaque, authenticated
// event ids with which callers resume a stream at any gateway. A resume token says
// where to find one output token (target, generation and offset) and which client
// account may read it.
package resumetoken

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"hash"
	"time"

	"github.com/rotisserie/eris"
)

const (
	formatVersion   = 1
	macBytes        = 16   // truncated HMAC-SHA-256
	maxEncodedBytes = 2048 // longest encoded token that is decoded
)

// ErrInvalid is returned for a token that is forged, damaged, expired or of another
// account. Callers are not told which of these applies.
var ErrInvalid = eris.New("resumetoken: token is not valid; resume by the request id")

// Token is the content of a resume token.
type Token struct {
	Account    string
	RequestID  string
	Target     string // target's name
	Address    string // target's ip:port
	Generation string
	Model      string
	Version    string
	Adapter    string
	Expires    time.Time // whole seconds
	Offset     int       // offset of the last output token that the caller has received
}

// Signer makes the resume tokens of one stream. It is not safe for concurrent use.
type Signer struct {
	mac       hash.Hash
	payload   []byte // signed bytes: the fields of the stream, then the offset
	prefixLen int    // length of payload without the offset
	sum       []byte
}

// NewSigner returns a Signer for the stream that t describes. It ignores t.Offset.
func (r *Keyring) NewSigner(t Token) *Signer {
	k := r.keys[0]
	payload := []byte{formatVersion}
	payload = appendString(payload, k.id)
	payload = binary.AppendUvarint(payload, uint64(max(0, t.Expires.Unix())))
	for _, text := range t.stringFields() {
		payload = appendString(payload, *text)
	}
	return &Signer{mac: hmac.New(sha256.New, k.secret), payload: payload, prefixLen: len(payload)}
}

// Append appends the encoded token for the offset to dst and returns the result.
func (s *Signer) Append(dst []byte, offset int) []byte {
	s.payload = binary.AppendUvarint(s.payload[:s.prefixLen], uint64(offset))
	s.mac.Reset()
	s.mac.Write(s.payload)
	s.sum = s.mac.Sum(s.sum[:0])
	s.payload = append(s.payload, s.sum[:macBytes]...)
	return base64.RawURLEncoding.AppendEncode(dst, s.payload)
}

// Verify checks an encoded token and returns its content. It returns ErrInvalid if the
// token was made for another account than the given one.
func (r *Keyring) Verify(text, account string, now time.Time) (Token, error) {
	var t Token
	if len(text) > maxEncodedBytes {
		return t, ErrInvalid
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) <= macBytes || raw[0] != formatVersion {
		return t, ErrInvalid
	}
	payload, sum := raw[:len(raw)-macBytes], raw[len(raw)-macBytes:]
	id, rest, ok := cutString(payload[1:])
	k := r.find(id)
	if !ok || k == nil || !validMAC(k.secret, payload, sum) {
		return t, ErrInvalid
	}
	if !t.decode(rest) || t.Account != account || now.After(t.Expires) {
		return Token{}, ErrInvalid
	}
	return t, nil
}

func validMAC(secret, payload, sum []byte) bool {
	mac := hmac.New(sha256.New, secret)
	mac.Write(payload)
	return hmac.Equal(mac.Sum(nil)[:macBytes], sum)
}

// stringFields returns the string fields in their encoded order.
func (t *Token) stringFields() []*string {
	return []*string{
		&t.Account, &t.RequestID, &t.Target, &t.Address, &t.Generation, &t.Model, &t.Version, &t.Adapter,
	}
}

// decode reads the fields after the key id, and reports whether rest holds exactly
// them.
func (t *Token) decode(rest []byte) bool {
	seconds, n := binary.Uvarint(rest)
	if n <= 0 {
		return false
	}
	t.Expires = time.Unix(int64(seconds), 0)
	rest = rest[n:]
	for _, text := range t.stringFields() {
		var ok bool
		if *text, rest, ok = cutString(rest); !ok {
			return false
		}
	}
	offset, n := binary.Uvarint(rest)
	t.Offset = int(offset)
	return n > 0 && n == len(rest) && t.Offset >= 0
}

// appendString appends the text with its length in front.
func appendString(dst []byte, text string) []byte {
	dst = binary.AppendUvarint(dst, uint64(len(text)))
	return append(dst, text...)
}

// cutString returns a text that appendString has written at the start of b, and the
// rest of b.
func cutString(b []byte) (string, []byte, bool) {
	size, n := binary.Uvarint(b)
	if n <= 0 || size > uint64(len(b)-n) {
		return "", nil, false
	}
	end := n + int(size)
	return string(b[n:end]), b[end:], true
}
