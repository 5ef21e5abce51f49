package upstream

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// PrefixHashes names the prefixes of a prompt that an engine can cache: one for
// each whole KV block, shortest first. Prompts of one model that begin alike
// have equal names up to where they differ.
func PrefixHashes(model contract.ModelName, prompt string) []uint64 {
	const blockBytes = int(BlockTokens) * contract.BytesPerToken
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	last := xxhash.Sum64String(string(model))
	for start := 0; start+blockBytes <= len(prompt); start += blockBytes {
		seed := binary.LittleEndian.AppendUint64(nil, last)
		digest := xxhash.New()
		_, _ = digest.Write(seed)
		_, _ = digest.WriteString(prompt[start : start+blockBytes])
		last = digest.Sum64()
		hashes = append(hashes, last)
	}
	return hashes
}
