// Package layers declares which packages may import which others. Only its tests use it:
// they check the source files of the whole module, and the table of lock ranks on the
// design page.
package layers

import (
	"slices"
	"strings"
)

// Rule restricts the imports of the packages in a folder and below it.
type Rule struct {
	// Folder is a path relative to the module root.
	Folder string
	// Forbidden lists import paths whose packages and sub-packages must not be
	// imported; paths within the module start with "./".
	Forbidden []string
	// ForbiddenExact lists import paths that must not be imported, while their sub-packages
	// may be.
	ForbiddenExact []string
	// Why is the reason that the test reports with a violation.
	Why string
}

// encodings lists the packages of message encodings and transports.
var encodings = []string{"net/http", "net/rpc", "encoding", "github.com/BurntSushi", "github.com/alecthomas", "expvar"}

// sockets lists the package of network connections. Its sub-package net/netip only
// defines address types and is allowed.
var sockets = []string{"net"}

// transportUsers lists the packages that depend on message transport: links, and the
// folders of settings, tools and commands that use them.
var transportUsers = []string{
	"./link/caller", "./link/operator", "./link/settings", "./link/peer/rpc",
	"./link/platform/rest", "./link/upstream/engineapi", "./link/upstream/serviceapi",
	"./link/relay/relayrpc", "./link/httpconn", "./internal", "./cmd",
}

// Rules holds the import rules of the module. Packages that make decisions import no
// encoding, so that another front end or engine API only needs a new folder under link.
var Rules = []Rule{
	{"contract", encodings, sockets, "decisions import no encoding"},
	{"contract", append([]string{"./link", "./instance/entry", "./instance/sidecar"}, transportUsers...), nil, "contracts are independent of message transport"},
	{"zone", append([]string{"./"}, encodings...), sockets, "package zone imports no other package of the module and no encoding"},
	{"upstream", append([]string{"./instance/entry", "./instance/sidecar"}, encodings...), sockets, "decisions about upstreams import no encoding"},
	{"upstream", transportUsers, nil, "decisions about upstreams are independent of message transport"},
	{"instance", encodings, sockets, "the processes' decisions import no encoding"},
	{"instance", transportUsers, nil, "the processes' decisions use interfaces, not their transports"},
	{"instance/gateway", []string{"./instance/entry", "./instance/sidecar", "./link/platform", "./link/peer", "./link/upstream"}, nil, "the gateway shares no links with the entry"},
	{"link", []string{"./internal/process", "./internal/fleet", "./cmd", "./instance/entry", "./instance/sidecar", "./instance/gateway"}, nil, "links depend on the interfaces of the processes, not on the processes"},
}

// PlatformFolder is the folder of the package that translates between this module and the
// users' platform. Package link/platform is unrelated to it and holds the interfaces of the
// services that entries and sidecars use.
const PlatformFolder = "platform"

// PlatformImporters are the folders that may import the package in PlatformFolder.
var PlatformImporters = []string{"cmd/trefoil-gateway", "cmd/trefoilctl"}

// PlatformStandIns simulate the platform or its callers and so use the names of its
// protocol. They import nothing of PlatformFolder.
var PlatformStandIns = []string{"internal/standin/userplatform", "internal/soak"}

// PlatformNames are names of the platform's protocol. They may occur only in
// PlatformFolder and PlatformStandIns.
var PlatformNames = []string{
	"Kv-Source", "Kv-Hold", "Target-Instance", "Not-Executed", "Server-Signature", "rows-feed", "rows-tx", "hold-take",
	"fencing_token", "kv_handle", "Token-Usage", "Length-Hint", "trefoilwalk/report",
}

// Forbids reports whether importing path breaks the rule. module is the module path.
func (r Rule) Forbids(path, module string) bool {
	if local, ok := strings.CutPrefix(path, module); ok {
		path = "." + local
	}
	if slices.Contains(r.ForbiddenExact, path) {
		return true
	}
	for _, f := range r.Forbidden {
		if path == f || strings.HasPrefix(path, strings.TrimSuffix(f, "/")+"/") {
			return true
		}
	}
	return false
}
