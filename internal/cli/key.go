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

// Format of client keys. The prefix makes leaked keys easy to search for.
const (
	keyPrefix = "hk-"
	keyBytes  = 33 // random bytes; 44 characters in base64
)

// newKeyResult is the JSON output of "key new".
type newKeyResult struct {
	Key  string `json:"key"`  // for the caller; shown only here and not stored
	Hash string `json:"hash"` // for keyHashes of the account in the document
}

// resumeKeyResult is the JSON output of "key resume".
type resumeKeyResult struct {
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
		RunE: a.runWithTimeout(func(context.Context, []string) error {
			k, err := generateKey(rand.Reader)
			if err != nil {
				return err
			}
			return a.out.writeResult(k, func(w io.Writer) {
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
		RunE: a.runWithTimeout(func(context.Context, []string) error {
			line, err := tlskeys.NewKeyLine(id)
			if err != nil {
				return &usageError{"key resume needs --id with 1 to 16 characters, which no key of the file has"}
			}
			return a.out.writeResult(resumeKeyResult{Line: line}, func(w io.Writer) { fmt.Fprintln(w, line) })
		}),
	}
	cmd.Flags().StringVar(&id, "id", "", "id of the key, 1 to 16 characters")
	return cmd
}

func generateKey(random io.Reader) (newKeyResult, error) {
	raw := make([]byte, keyBytes)
	if _, err := io.ReadFull(random, raw); err != nil {
		return newKeyResult{}, eris.Wrap(err, "cannot read random bytes for a key")
	}
	key := keyPrefix + base64.RawURLEncoding.EncodeToString(raw)
	return newKeyResult{Key: key, Hash: document.HashKey(key)}, nil
}
