package engine

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// tokenBase is the numeric base in which tokens are written: a token is three
// digits at most.
const tokenBase = 36

// Expected returns the first n output tokens for a prompt and a seed. They are the
// same at every engine.
func Expected(prompt string, seed int64, n int) []string {
	return tokens(xxhash.Sum64String(prompt), seed, 0, contract.Tokens(n))
}

// tokens returns the output tokens from index first up to, but not including, end.
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
	value := xxhash.Sum64(input[:]) % (tokenBase * tokenBase * tokenBase)
	return " " + strconv.FormatUint(value, tokenBase)
}
