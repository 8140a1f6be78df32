package resumetoken

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	testKeys = []string{"b:00112233445566778899aabbccddeeff", "a:ffeeddccbbaa99887766554433221100"}
	testNow  = time.Unix(1_800_000_000, 0)
)

func testToken() Token {
	return Token{
		Account: "booking", RequestID: "r1", Target: "engine-1", Address: "127.0.0.1:9", Generation: "g1",
		Model: "m", Version: "v", Adapter: "x", Expires: testNow.Add(time.Hour), Offset: 300,
	}
}

func ring(t testing.TB, keys ...string) *Keyring {
	r, err := ParseKeys(keys)
	require.NoError(t, err)
	return r
}

func TestTokenIsValidForItsAccountUntilItExpires(t *testing.T) {
	want := testToken()
	text := string(ring(t, testKeys[1]).NewSigner(want).Append(nil, want.Offset))
	rotated := ring(t, testKeys...)
	got, err := rotated.Verify(text, "booking", testNow)
	require.NoError(t, err)
	require.Equal(t, want, got)
	_, err = rotated.Verify(text, "other", testNow)
	require.ErrorIs(t, err, ErrInvalid)
	_, err = rotated.Verify(text, "booking", testNow.Add(2*time.Hour))
	require.ErrorIs(t, err, ErrInvalid)
	_, err = ring(t, testKeys[0]).Verify(text, "booking", testNow)
	require.ErrorIs(t, err, ErrInvalid)
}

func TestEveryChangedByteIsRejected(t *testing.T) {
	r := ring(t, testKeys...)
	text := r.NewSigner(testToken()).Append(nil, 7)
	for i := range text {
		forged := append([]byte(nil), text...)
		forged[i] ^= 1
		_, err := r.Verify(string(forged), "booking", testNow)
		require.ErrorIs(t, err, ErrInvalid, "byte %d", i)
	}
}

func TestInvalidKeysAreRejected(t *testing.T) {
	for _, list := range [][]string{nil, {"a"}, {"a:zz"}, {"a:0011"}, {testKeys[0], testKeys[0]}} {
		_, err := ParseKeys(list)
		require.ErrorIs(t, err, ErrInvalidKeys)
	}
}

func FuzzResumeToken(f *testing.F) {
	r := ring(f, testKeys...)
	f.Add(string(r.NewSigner(testToken()).Append(nil, 7)))
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		token, err := r.Verify(text, "booking", testNow)
		if err == nil {
			require.Equal(t, text, string(r.NewSigner(token).Append(nil, token.Offset)))
		}
	})
}

func BenchmarkAppend(b *testing.B) {
	s := ring(b, testKeys...).NewSigner(testToken())
	buffer := make([]byte, 0, 512)
	for i := range b.N {
		buffer = s.Append(buffer[:0], i)
	}
}
