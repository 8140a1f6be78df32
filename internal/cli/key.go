package cli

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"io"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"corianderhitch/internal/document"
)

// Form of client keys: the prefix makes leaked keys easy to search for.
const (
	keyPrefix = "hk-"
	keyBytes  = 33 // random bytes; 44 characters in base64
)

// newKey is the result of key new in JSON output.
type newKey struct {
	Key  string `json:"key"`  // for the caller; shown once, stored nowhere
	Hash string `json:"hash"` // for keyHashes in the document
}

func (a *app) keyCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "key", Short: "Client keys"}
	cmd.AddCommand(&cobra.Command{
		Use:   "new",
		Short: "Make a client key and its hash for the document",
		Args:  cobra.NoArgs,
		RunE: a.command(func(context.Context, []string) error {
			k, err := makeKey(rand.Reader)
			if err != nil {
				return err
			}
			return a.out.result(k, func(w io.Writer) {
				fmt.Fprintf(w, "key  %s  (give it to the caller; it is stored nowhere)\nhash %s  (add it to the account's keyHashes)\n", k.Key, k.Hash)
			})
		}),
	})
	return cmd
}

func makeKey(random io.Reader) (newKey, error) {
	raw := make([]byte, keyBytes)
	if _, err := io.ReadFull(random, raw); err != nil {
		return newKey{}, eris.Wrap(err, "no random bytes for a key")
	}
	key := keyPrefix + base64.RawURLEncoding.EncodeToString(raw)
	return newKey{Key: key, Hash: document.HashKey(key)}, nil
}
