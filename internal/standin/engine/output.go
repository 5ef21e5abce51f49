package engine

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// wordBase is the base in which tokens are written.
const wordBase = 36

// Expected gives the first n tokens of the answer to a prompt with a seed,
// whatever the engine.
func Expected(prompt string, seed int64, n int) []string {
	return tokens(xxhash.Sum64String(prompt), seed, 0, contract.Tokens(n))
}

// tokens gives the tokens from first to before end.
func tokens(promptHash uint64, seed int64, first, end contract.Tokens) []string {
	texts := make([]string, 0, max(0, end-first))
	for i := first; i < end; i++ {
		texts = append(texts, token(promptHash, seed, i))
	}
	return texts
}

func token(promptHash uint64, seed int64, i contract.Tokens) string {
	var input [24]byte
	binary.LittleEndian.PutUint64(input[0:], promptHash)
	binary.LittleEndian.PutUint64(input[8:], uint64(seed))
	binary.LittleEndian.PutUint64(input[16:], uint64(i))
	word := xxhash.Sum64(input[:]) % (wordBase * wordBase * wordBase)
	return " " + strconv.FormatUint(word, wordBase)
}
