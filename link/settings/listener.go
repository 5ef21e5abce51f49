package settings

import (
	"github.com/hashicorp/go-hclog"

	"github.com/trefoilwalk/trefoilwalk/instance/clock"
	"github.com/trefoilwalk/trefoilwalk/link/tlsfiles"
)

// Listener holds the address and TLS settings of a listener. Either certificate
// and key are given, or plain_text is true; there is no default, so that plain text
// is always a choice.
type Listener struct {
	// Listen is an IP number and a port; required.
	Listen string `toml:"listen"`
	// TLSCert and TLSKey are PEM files; no default.
	TLSCert string `toml:"tls_cert"`
	TLSKey  string `toml:"tls_key"`
	// TLSClientCA is a PEM file; if given, clients must show a certificate of
	// this authority, and the process's own calls on this link check against
	// it too. No default; required for the peer listener with TLS.
	TLSClientCA string `toml:"tls_client_ca"`
	// PlainText leaves connections open to whoever can read the network;
	// default false.
	PlainText bool `toml:"plain_text"`
}

// TLSFiles returns the TLS files of the listener, which also apply to outgoing calls
// on the same link. They are not used with plain text.
func (l *Listener) TLSFiles() tlsfiles.Files {
	return tlsfiles.Files{Cert: l.TLSCert, Key: l.TLSKey, Authority: l.TLSClientCA}
}

// check reads the certificates too, so that an invalid one is reported before the
// process starts.
func (l *Listener) check(c *checker, key string) {
	c.addr(key+".listen", l.Listen)
	given := l.TLSCert != "" || l.TLSKey != "" || l.TLSClientCA != ""
	switch {
	case l.PlainText && given:
		c.add(key+".plain_text", "contradicts the TLS files")
	case l.PlainText:
	case l.TLSCert == "" || l.TLSKey == "":
		c.add(key, "needs tls_cert and tls_key, or plain_text = true")
	default:
		if _, err := tlsfiles.New(l.TLSFiles(), clock.System{}, hclog.NewNullLogger()); err != nil {
			c.add(key+".tls_cert", "%v", err)
		}
	}
}

// checkPeer checks a listener for the system's own processes, where both sides
// must present certificates.
func (l *Listener) checkPeer(c *checker, key string) {
	l.check(c, key)
	if !l.PlainText && l.TLSClientCA == "" {
		c.add(key+".tls_client_ca", "is needed with TLS, so that only the system's own processes are let in")
	}
}
