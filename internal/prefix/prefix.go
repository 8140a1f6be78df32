// Package prefix computes the chained block hashes that identify cached prompt prefixes.
// Engines report them, and gateways compare a prompt's hashes with the reports.
package prefix

import "github.com/cespare/xxhash/v2"

const (
	// BytesPerToken is the estimated length of a token. Without the model's tokenizer,
	// four bytes are the usual estimate for European languages.
	BytesPerToken = 4
	// BlockTokens is the number of tokens in a cached block.
	BlockTokens = 64
)

// EstimateTokens returns the estimated number of tokens of a prompt, at least 1.
func EstimateTokens(prompt string) int {
	return max(1, (len(prompt)+BytesPerToken-1)/BytesPerToken)
}

// BlockHashes returns one chained hash per whole block of the prompt, shortest prefix
// first. Each hash covers all blocks up to its own, and also model, version and adapter,
// because their cached blocks are not interchangeable.
func BlockHashes(model, version, adapter, prompt string) []uint64 {
	const blockBytes = BlockTokens * BytesPerToken
	digest := xxhash.New()
	_, _ = digest.WriteString(model + "\x00" + version + "\x00" + adapter + "\x00")
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		_, _ = digest.WriteString(prompt[end-blockBytes : end])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
