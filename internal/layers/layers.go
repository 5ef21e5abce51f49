// Package layers states which packages may import what. Its test reads the
// whole module and the table of lock ranks on the design page.
package layers

import (
	"slices"
	"strings"
)

// Rule bounds the imports of the packages below a folder.
type Rule struct {
	// Folder is relative to the module's root.
	Folder string
	// Forbidden are prefixes of import paths, relative ones within the module.
	Forbidden []string
	// Exact are import paths whose sub-packages are allowed.
	Exact []string
	// Why goes into the report of the test.
	Why string
}

// encodings are the packages of encodings and transports.
var encodings = []string{"net/http", "net/rpc", "encoding", "github.com/BurntSushi", "github.com/alecthomas", "expvar"}

// sockets is the package of connections; net/netip below it is only a type.
var sockets = []string{"net"}

// carriers are the packages that carry messages.
var carriers = []string{
	"./link/caller", "./link/operator", "./link/settings", "./link/peer/rpc",
	"./link/platform/rest", "./link/upstream/engineapi", "./link/upstream/serviceapi",
	"./link/relay/relayrpc", "./link/httpconn", "./internal", "./cmd",
}

// Rules are the rules of the module. Decisions import no encoding, so that
// another front end or engine API is one more folder under link.
var Rules = []Rule{
	{"contract", encodings, sockets, "decisions import no encoding"},
	{"contract", append([]string{"./link", "./instance/entry", "./instance/sidecar"}, carriers...), nil, "contracts do not know how they are carried"},
	{"zone", append([]string{"./"}, encodings...), sockets, "zones are a leaf and import no encoding"},
	{"upstream", append([]string{"./instance/entry", "./instance/sidecar"}, encodings...), sockets, "decisions about upstreams import no encoding"},
	{"upstream", carriers, nil, "decisions about upstreams do not know how orders are carried"},
	{"instance", encodings, sockets, "the processes' decisions import no encoding"},
	{"instance", carriers, nil, "the processes' decisions know interfaces, not what carries them"},
	{"instance/gateway", []string{"./instance/entry", "./instance/sidecar", "./link/platform", "./link/peer", "./link/upstream"}, nil, "the gateway shares no links with the entry"},
	{"link", []string{"./internal/process", "./internal/fleet", "./cmd", "./instance/entry", "./instance/sidecar", "./instance/gateway"}, nil, "links know the interfaces of the processes, not the processes"},
}

// PlatformFolder translates between the product and the users' platform.
const PlatformFolder = "platform"

// PlatformImporters are the folders that may import it.
var PlatformImporters = []string{"cmd/trefoil-gateway"}

// PlatformStandIns play the platform or its callers and so speak as it does. They
// import nothing of PlatformFolder.
var PlatformStandIns = []string{"internal/standin/userplatform", "internal/soak"}

// PlatformNames stand in that folder and in its stand-ins only.
var PlatformNames = []string{
	"Kv-Source", "Kv-Hold", "Target-Instance", "Not-Executed", "Server-Signature", "rows-feed", "rows-tx", "hold-take",
	"fencing_token", "kv_handle", "Token-Usage", "Length-Hint", "trefoilwalk/report",
}

// Breaks reports whether an import breaks the rule.
func (r Rule) Breaks(path, module string) bool {
	if local, ok := strings.CutPrefix(path, module); ok {
		path = "." + local
	}
	if slices.Contains(r.Exact, path) {
		return true
	}
	for _, f := range r.Forbidden {
		if path == f || strings.HasPrefix(path, strings.TrimSuffix(f, "/")+"/") {
			return true
		}
	}
	return false
}
