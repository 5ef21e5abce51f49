// Package configcodec encodes configurations and accepted changes for the store
// and for peers, with encoding/gob. Each encoded value starts with a format
// number, so that a later version can tell what it reads.
package configcodec

import (
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"sync"

	"github.com/trefoilwalk/trefoilwalk/contract/config"
)

// Format is the number of the format written; all up to it are read.
const Format = 1

// Errors of this layer.
var (
	// ErrFormat means that the value was written by a later version.
	ErrFormat = errors.New("configcodec: unknown format")
	// ErrCorrupt means that the value cannot be read.
	ErrCorrupt = errors.New("configcodec: corrupt value")
)

// Register makes the commands known to encoding/gob under names that do not
// change when a package moves. Call it before a command is sent or received.
var Register = sync.OnceFunc(func() {
	gob.RegisterName("config.Batch", config.Batch{})
	gob.RegisterName("config.CreateAccount", config.CreateAccount{})
	gob.RegisterName("config.SetAccount", config.SetAccount{})
	gob.RegisterName("config.DeleteAccount", config.DeleteAccount{})
	gob.RegisterName("config.GrantKey", config.GrantKey{})
	gob.RegisterName("config.WithdrawKey", config.WithdrawKey{})
	gob.RegisterName("config.DeleteKey", config.DeleteKey{})
	gob.RegisterName("config.CreateRoute", config.CreateRoute{})
	gob.RegisterName("config.SetRoute", config.SetRoute{})
	gob.RegisterName("config.DeleteRoute", config.DeleteRoute{})
	gob.RegisterName("config.AddUpstream", config.AddUpstream{})
	gob.RegisterName("config.SetUpstream", config.SetUpstream{})
	gob.RegisterName("config.ChangeState", config.ChangeState{})
	gob.RegisterName("config.ChangeRole", config.ChangeRole{})
	gob.RegisterName("config.LoadModel", config.LoadModel{})
	gob.RegisterName("config.DeleteUpstream", config.DeleteUpstream{})
})

// Encode writes the format number and the value.
func Encode(value any) ([]byte, error) {
	Register()
	var b bytes.Buffer
	encoder := gob.NewEncoder(&b)
	if err := encoder.Encode(Format); err != nil {
		return nil, fmt.Errorf("configcodec: %w", err)
	}
	if err := encoder.Encode(value); err != nil {
		return nil, fmt.Errorf("configcodec: %w", err)
	}
	return b.Bytes(), nil
}

// Decode reads a value written by Encode into the pointer given.
func Decode(data []byte, value any) error {
	Register()
	decoder := gob.NewDecoder(bytes.NewReader(data))
	var format int
	if err := decoder.Decode(&format); err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if format < 1 || format > Format {
		return fmt.Errorf("%w: %d", ErrFormat, format)
	}
	if err := decoder.Decode(value); err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return nil
}
