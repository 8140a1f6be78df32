// Package prefix computes the chained block hashes by which engines name cached
// prompt prefixes and gateways look for them.
package prefix

import "github.com/cespare/xxhash/v2"

const (
	// BytesPerToken converts prompt bytes to tokens. Without the model's own
	// tokenizer, four bytes a token is the usual estimate for European languages.
	BytesPerToken = 4
	// BlockTokens is the number of tokens in a cached block.
	BlockTokens = 64
)

// Tokens returns the estimated number of tokens of a prompt, at least 1.
func EstimateTokens(prompt string) int {
	return max(1, (len(prompt)+BytesPerToken-1)/BytesPerToken)
}

// Hashes returns one chained hash per whole block of the prompt, shortest
// prefix first. Model, version and adapter are part of the hash, since cached
// blocks of one are of no use to another.
func BlockHashes(model, version, adapter, prompt string) []uint64 {
	const blockBytes = BlockTokens * BytesPerToken
	d := xxhash.New()
	_, _ = d.WriteString(model + "\x00" + version + "\x00" + adapter + "\x00")
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		_, _ = d.WriteString(prompt[end-blockBytes : end])
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}
