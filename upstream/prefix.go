package upstream

import (
	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// PrefixHashes hashes the prefixes of a prompt that an engine can cache: one
// hash for each whole KV block, shortest prefix first. Two prompts for the same
// model share hashes up to the block in which they first differ.
func PrefixHashes(model contract.ModelName, prompt string) []uint64 {
	const blockBytes = int(BlockTokens) * contract.BytesPerToken
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	digest := xxhash.New()
	_, _ = digest.WriteString(string(model))
	for start := 0; start+blockBytes <= len(prompt); start += blockBytes {
		_, _ = digest.WriteString(prompt[start : start+blockBytes])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
