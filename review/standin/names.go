package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
)

// namesText holds the names of the platform's protocol. The module keeps them out of Go
// files other than those of its platform folder.
//
//go:embed names.json
var namesText []byte

var names = func() map[string]string {
	var out map[string]string
	if err := json.Unmarshal(namesText, &out); err != nil {
		panic(fmt.Sprintf("names.json: %v", err))
	}
	return out
}()

// name returns the platform's name for a path, header or field.
func name(key string) string {
	n, ok := names[key]
	if !ok {
		panic("names.json lacks " + key)
	}
	return n
}
