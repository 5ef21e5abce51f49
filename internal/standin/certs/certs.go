// Package certs makes certificate authorities and certificates for TLS tests, and
// writes them as the files that package tlsfiles reads. They expire after an hour.
package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/link/tlsfiles"
)

// Authority is a certificate authority, made by New.
type Authority struct {
	// Cert is the authority's own certificate.
	Cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// New returns an authority with a new key and a self-signed certificate.
func New(t testing.TB) Authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return Authority{cert, key}
}

// Write writes a new certificate for 127.0.0.1 with a serial number, its key and
// the authority's certificate to dir, and returns the files' names. The
// certificate is valid for servers and clients.
func (a Authority) Write(t testing.TB, dir string, serial int64) tlsfiles.Files {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	der, err := x509.CreateCertificate(rand.Reader, template, a.Cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	files := tlsfiles.Files{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), Authority: filepath.Join(dir, "ca")}
	WritePEM(t, files.Cert, "CERTIFICATE", der, serial)
	WritePEM(t, files.Key, "PRIVATE KEY", private, serial)
	WritePEM(t, files.Authority, "CERTIFICATE", a.Cert.Raw, serial)
	return files
}

// WritePEM writes a PEM file. Its modification time is derived from the serial number,
// so that a later certificate has a different one.
func WritePEM(t testing.TB, name, kind string, der []byte, serial int64) {
	t.Helper()
	if err := os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	modified := time.Unix(1_000_000+serial, 0)
	if err := os.Chtimes(name, modified, modified); err != nil {
		t.Fatal(err)
	}
}
