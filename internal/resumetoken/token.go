// Package resumetoken makes the opaque authenticated event ids by which callers
// resume a stream at any gateway. A token names the place of one output token:
// target, generation and offset, and the client account that may read it.
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
	layoutVersion = 1
	macBytes      = 16   // truncated HMAC-SHA-256
	maxTokenText  = 2048 // longest encoded token that is looked at
)

// ErrInvalid is returned for a token that is forged, damaged, expired or of
// another account. The cases are not told apart towards callers.
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
	Offset     int       // the token that the caller has received
}

// Sealer makes the tokens of one stream. It is not safe for concurrent use.
type Signer struct {
	mac   hash.Hash
	plain []byte // everything but the offset
	fixed int    // length of plain without the offset
	sum   []byte
}

// Sealer returns a Sealer for the stream that t describes; its Offset is ignored.
func (r *Keyring) NewSigner(t Token) *Signer {
	k := r.keys[0]
	plain := []byte{layoutVersion}
	plain = appendText(plain, k.id)
	plain = binary.AppendUvarint(plain, uint64(max(0, t.Expires.Unix())))
	for _, text := range t.texts() {
		plain = appendText(plain, *text)
	}
	return &Signer{mac: hmac.New(sha256.New, k.secret), plain: plain, fixed: len(plain)}
}

// Append appends the encoded token for an offset to dst.
func (s *Signer) Append(dst []byte, offset int) []byte {
	s.plain = binary.AppendUvarint(s.plain[:s.fixed], uint64(offset))
	s.mac.Reset()
	s.mac.Write(s.plain)
	s.sum = s.mac.Sum(s.sum[:0])
	s.plain = append(s.plain, s.sum[:macBytes]...)
	return base64.RawURLEncoding.AppendEncode(dst, s.plain)
}

// Open checks a token and returns its content. The account must be the one that
// the token was made for.
func (r *Keyring) Verify(text, account string, now time.Time) (Token, error) {
	var t Token
	if len(text) > maxTokenText {
		return t, ErrInvalid
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) <= macBytes || raw[0] != layoutVersion {
		return t, ErrInvalid
	}
	plain, sum := raw[:len(raw)-macBytes], raw[len(raw)-macBytes:]
	id, rest, ok := cutText(plain[1:])
	k := r.find(id)
	if !ok || k == nil || !authentic(k.secret, plain, sum) {
		return t, ErrInvalid
	}
	if !t.decode(rest) || t.Account != account || now.After(t.Expires) {
		return Token{}, ErrInvalid
	}
	return t, nil
}

func authentic(secret, plain, sum []byte) bool {
	mac := hmac.New(sha256.New, secret)
	mac.Write(plain)
	return hmac.Equal(mac.Sum(nil)[:macBytes], sum)
}

func (t *Token) texts() []*string {
	return []*string{
		&t.Account, &t.RequestID, &t.Target, &t.Address, &t.Generation, &t.Model, &t.Version, &t.Adapter,
	}
}

func (t *Token) decode(rest []byte) bool {
	seconds, n := binary.Uvarint(rest)
	if n <= 0 {
		return false
	}
	t.Expires = time.Unix(int64(seconds), 0)
	rest = rest[n:]
	for _, text := range t.texts() {
		var ok bool
		if *text, rest, ok = cutText(rest); !ok {
			return false
		}
	}
	offset, n := binary.Uvarint(rest)
	t.Offset = int(offset)
	return n > 0 && n == len(rest) && t.Offset >= 0
}

func appendText(dst []byte, text string) []byte {
	dst = binary.AppendUvarint(dst, uint64(len(text)))
	return append(dst, text...)
}

func cutText(b []byte) (string, []byte, bool) {
	size, n := binary.Uvarint(b)
	if n <= 0 || size > uint64(len(b)-n) {
		return "", nil, false
	}
	end := n + int(size)
	return string(b[n:end]), b[end:], true
}
