// Package tlsfiles loads certificates from PEM files and reloads them when the
// files change, without a restart. If the new files cannot be used, the old
// certificates stay in use and the error is logged.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/trefoilwalk/trefoilwalk/instance/clock"
)

// CheckEvery is the shortest time between two checks of the files. They are
// checked when a connection is opened, so an idle process reads nothing.
const CheckEvery = 2 * time.Second

// MinVersion is the oldest TLS version accepted.
const MinVersion = tls.VersionTLS13

// Errors wrapped by New. Each text is the kind of file that cannot be used and
// stands before the cause.
var (
	// ErrCertificate means that the certificate or its key cannot be used.
	ErrCertificate = errors.New("certificate or key")
	// ErrAuthority means that the file of the certificate authority cannot be used.
	ErrAuthority = errors.New("authority")
)

// Files names PEM files.
type Files struct {
	// Cert and Key are the certificate and private key of this process.
	Cert, Key string
	// Authority holds the CA certificates that verify the peer. A server with it
	// requires client certificates; without it, any client may connect.
	Authority string
}

// material is the loaded content of the files.
type material struct {
	cert      tls.Certificate
	authority *x509.CertPool
	// stamps are compared to detect a change of a file.
	stamps [3]stamp
}

// stamp identifies one state of a file.
type stamp struct {
	modified time.Time
	size     int64
}

// Source provides TLS configurations from files. It is safe for concurrent use.
type Source struct {
	files Files
	clock clock.Clock
	log   hclog.Logger

	mu      sync.Mutex
	current *material
	checked time.Time
	// loggedError is the reload error logged last; empty after a reload.
	loggedError string
}

// New loads the files. The error wraps ErrCertificate or ErrAuthority.
func New(files Files, c clock.Clock, log hclog.Logger) (*Source, error) {
	m, err := load(files)
	if err != nil {
		return nil, err
	}
	return &Source{files: files, clock: c, log: log, current: m, checked: c.Now()}, nil
}

// ServerConfig returns the configuration of a listener. Each connection uses the
// certificates that are current when it is opened.
func (s *Source) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: MinVersion,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.serverConfig(), nil
		},
	}
}

// serverConfig returns the configuration for one connection.
func (s *Source) serverConfig() *tls.Config {
	m := s.latest()
	config := &tls.Config{MinVersion: MinVersion, Certificates: []tls.Certificate{m.cert}}
	// A session resumed after a reload must not skip the check of certificates.
	config.SessionTicketsDisabled = true
	if m.authority != nil {
		config.ClientCAs = m.authority
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config
}

// ClientConfig returns the configuration of one connection to a server, which must
// present a certificate for name, usually an IP address.
func (s *Source) ClientConfig(name string) *tls.Config {
	m := s.latest()
	return &tls.Config{
		MinVersion:   MinVersion,
		ServerName:   name,
		Certificates: []tls.Certificate{m.cert},
		RootCAs:      m.authority,
	}
}

// latest reloads changed files, if CheckEvery has passed since the last check,
// and returns the material in use.
func (s *Source) latest() *material {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if now.Sub(s.checked) < CheckEvery {
		return s.current
	}
	s.checked = now
	stamps, err := readStamps(s.files)
	if err == nil && stamps == s.current.stamps {
		return s.current
	}
	next, err := load(s.files)
	if err != nil {
		s.logReloadError(err)
		return s.current
	}
	s.current = next
	s.loggedError = ""
	s.log.Info("new certificates in use", "file", s.files.Cert)
	return s.current
}

// logReloadError logs why the old certificates stay in use. An error that repeats
// is logged once.
func (s *Source) logReloadError(err error) {
	if err.Error() == s.loggedError {
		return
	}
	s.loggedError = err.Error()
	s.log.Error("changed certificates cannot be used, the old ones stay", "error", err)
}

// load reads and checks all files. It takes the stamps first, so that a file
// that changes meanwhile is read again.
func load(files Files) (*material, error) {
	stamps, err := readStamps(files)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCertificate, err)
	}
	m := &material{stamps: stamps}
	if m.cert, err = tls.LoadX509KeyPair(files.Cert, files.Key); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCertificate, err)
	}
	if files.Authority == "" {
		return m, nil
	}
	pem, err := os.ReadFile(files.Authority)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrAuthority, err)
	}
	m.authority = x509.NewCertPool()
	if !m.authority.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%w: %s contains no certificate", ErrAuthority, files.Authority)
	}
	return m, nil
}

func readStamps(files Files) (stamps [3]stamp, err error) {
	for i, name := range []string{files.Cert, files.Key, files.Authority} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return stamps, err
		}
		stamps[i] = stamp{info.ModTime(), info.Size()}
	}
	return stamps, nil
}
