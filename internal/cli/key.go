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
	"corianderhitch/internal/tlskeys"
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

// resumeKey is the result of key resume in JSON output.
type resumeKey struct {
	Line string `json:"line"` // for --token-keys-file
}

func (a *app) keyCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "key", Short: "Client keys and the keys of resume tokens"}
	cmd.AddCommand(a.newKeyCommand(), a.resumeKeyCommand())
	return cmd
}

func (a *app) newKeyCommand() *cobra.Command {
	return &cobra.Command{
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
	}
}

func (a *app) resumeKeyCommand() *cobra.Command {
	var id string
	cmd := &cobra.Command{
		Use:   "resume --id NAME",
		Short: "Make a key of resume tokens, as a line of the file of --token-keys-file",
		Args:  cobra.NoArgs,
		RunE: a.command(func(context.Context, []string) error {
			line, err := tlskeys.NewKeyLine(id)
			if err != nil {
				return &usageError{"key resume needs --id with 1 to 16 characters, which no key of the file has"}
			}
			return a.out.result(resumeKey{Line: line}, func(w io.Writer) { fmt.Fprintln(w, line) })
		}),
	}
	cmd.Flags().StringVar(&id, "id", "", "id of the key, 1 to 16 characters")
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
