package shell

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"

	"github.com/BurntSushi/toml"

	"github.com/trefoilwalk/trefoilwalk/link/operator/client"
)

// Settings are the settings file of trefoilctl.
type Settings struct {
	// Address is the operators' listener of any entry: an IP number and port.
	Address string `toml:"address"`
	// KeyFile holds the operator's key.
	KeyFile string `toml:"key_file"`
	// CAFile holds the CA certificates that the listener's certificate is
	// verified against; without it those of the system are used.
	CAFile string `toml:"ca_file"`
	// PlainText connects without TLS. Default false.
	PlainText bool `toml:"plain_text"`
}

// ReadSettings reads and checks the file. Errors name the file and, if one is
// wrong, the key.
func ReadSettings(file string) (Settings, error) {
	var s Settings
	meta, err := toml.DecodeFile(file, &s)
	if err != nil {
		return s, fmt.Errorf("%s: %w", file, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return s, fmt.Errorf("%s: %s: there is no such setting", file, unknown[0])
	}
	if _, err := netip.ParseAddrPort(s.Address); err != nil {
		return s, fmt.Errorf("%s: address: must be an IP number and a port, such as 10.0.0.7:7200", file)
	}
	if s.KeyFile == "" {
		return s, fmt.Errorf("%s: key_file: must name the file that holds the operator's key", file)
	}
	return s, nil
}

// Client returns a client of the API at Address. It reads the key and CA files,
// and does not connect.
func (s Settings) Client() (*client.Client, error) {
	key, err := os.ReadFile(s.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("key_file: %w", err)
	}
	trimmed := strings.TrimSpace(string(key))
	if s.PlainText {
		return client.New("http://"+s.Address, trimmed, &http.Transport{}), nil
	}
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if s.CAFile != "" {
		if config.RootCAs, err = readCertificates(s.CAFile); err != nil {
			return nil, fmt.Errorf("ca_file: %w", err)
		}
	}
	return client.New("https://"+s.Address, trimmed, &http.Transport{TLSClientConfig: config}), nil
}

func readCertificates(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.New(file + " holds no certificate")
	}
	return pool, nil
}
