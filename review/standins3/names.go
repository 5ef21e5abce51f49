package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesText []byte

// names are names of the users' protocol, which other Go files of the module may not have.
var names = decodeNames(namesText)

func decodeNames(text []byte) map[string]string {
	out := make(map[string]string)
	if err := json.Unmarshal(text, &out); err != nil {
		panic(err)
	}
	return out
}
