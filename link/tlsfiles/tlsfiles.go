// Package tlsfiles takes certificates from files and takes new ones when the
// files change, without a restart. New files that cannot be used leave the old
// certificates in use.
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

// CheckEvery is the least time between two looks at the files. They are looked
// at when a connection is opened, so idle processes read nothing.
const CheckEvery = 2 * time.Second

// MinVersion is the oldest version of TLS that is spoken.
const MinVersion = tls.VersionTLS13

// Errors of this layer.
var (
	// ErrCertificate means that certificate and key cannot be used.
	ErrCertificate = errors.New("certificate or key")
	// ErrAuthority means that the authority's file cannot be used.
	ErrAuthority = errors.New("authority")
)

// Files names PEM files.
type Files struct {
	// Cert and Key are this process's.
	Cert, Key string
	// Authority has signed the certificates of the other side. If it is set,
	// clients must show one; if not, anyone may connect.
	Authority string
}

// material is what the files held.
type material struct {
	cert      tls.Certificate
	authority *x509.CertPool
	// stamps tell whether a file has changed since.
	stamps [3]stamp
}

// stamp is what tells two states of a file apart.
type stamp struct {
	modified time.Time
	size     int64
}

// Source gives TLS configurations from files.
type Source struct {
	files Files
	clock clock.Clock
	log   hclog.Logger

	mu      sync.Mutex
	current *material
	checked time.Time
	// failed is the error that was logged last.
	failed string
}

// New reads the files for the first time.
func New(files Files, c clock.Clock, log hclog.Logger) (*Source, error) {
	m, err := read(files)
	if err != nil {
		return nil, err
	}
	return &Source{files: files, clock: c, log: log, current: m, checked: c.Now()}, nil
}

// Server gives the configuration of a listener.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: MinVersion,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.serverNow(), nil
		},
	}
}

// serverNow is the configuration for one connection.
func (s *Source) serverNow() *tls.Config {
	m := s.latest()
	config := &tls.Config{MinVersion: MinVersion, Certificates: []tls.Certificate{m.cert}}
	// A session from before a change must not skip the check of certificates.
	config.SessionTicketsDisabled = true
	if m.authority != nil {
		config.ClientCAs = m.authority
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config
}

// Client gives the configuration of one connection to a server, which must show
// a certificate for the name, usually an IP number.
func (s *Source) Client(name string) *tls.Config {
	m := s.latest()
	return &tls.Config{
		MinVersion:   MinVersion,
		ServerName:   name,
		Certificates: []tls.Certificate{m.cert},
		RootCAs:      m.authority,
	}
}

// latest looks at the files, if it is time to, and gives what is in use.
func (s *Source) latest() *material {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if now.Sub(s.checked) < CheckEvery {
		return s.current
	}
	s.checked = now
	stamps, err := stampsOf(s.files)
	if err == nil && stamps == s.current.stamps {
		return s.current
	}
	next, err := read(s.files)
	if err != nil {
		s.keep(err)
		return s.current
	}
	s.current = next
	s.failed = ""
	s.log.Info("new certificates in use", "file", s.files.Cert)
	return s.current
}

// keep logs, once, why the old certificates stay in use.
func (s *Source) keep(err error) {
	if err.Error() == s.failed {
		return
	}
	s.failed = err.Error()
	s.log.Error("changed certificates cannot be used, the old ones stay", "error", err)
}

// read reads and checks all files. The stamps are taken before, so that a file
// that changes meanwhile is read again.
func read(files Files) (*material, error) {
	stamps, err := stampsOf(files)
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
		return nil, fmt.Errorf("%w: %s holds no certificate", ErrAuthority, files.Authority)
	}
	return m, nil
}

func stampsOf(files Files) (stamps [3]stamp, err error) {
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
