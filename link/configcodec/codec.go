// Package configcodec encodes configurations and accepted changes with encoding/gob.
// Encode and Decode serve the store, Register the messages between peers. Each
// encoded value starts with a format number, so that later versions recognize it.
package configcodec

import (
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"sync"

	"github.com/trefoilwalk/trefoilwalk/contract/config"
)

// Format is the format number that Encode writes. Decode accepts 1 to Format.
const Format = 1

// Errors of Decode.
var (
	// ErrFormat means that the format number is unknown: a later version wrote the
	// value.
	ErrFormat = errors.New("configcodec: unknown format")
	// ErrCorrupt means that the value cannot be decoded.
	ErrCorrupt = errors.New("configcodec: corrupt value")
)

// Register registers the command types with encoding/gob under names that stay the
// same when a package moves. It must be called before a command is sent or received;
// repeated calls do nothing.
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

// Encode returns the format number followed by the value, in gob encoding.
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

// Decode decodes data written by Encode into value, which must be a pointer. Its
// errors wrap ErrFormat or ErrCorrupt.
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
