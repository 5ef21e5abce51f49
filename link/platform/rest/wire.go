package rest

import (
	"net/http"

	"github.com/trefoilwalk/trefoilwalk/link/platform"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// Paths of the platform's services.
const (
	PathGet       = "/v1/table/get"
	PathScan      = "/v1/table/scan"
	PathCommit    = "/v1/table/commit"
	PathObject    = "/v1/object"
	PathObjects   = "/v1/objects"
	PathInstances = "/v1/instances"
	PathWeights   = "/v1/weights"
)

// Query parameters.
const (
	ParamName   = "name"
	ParamPrefix = "prefix"
	ParamModel  = "model"
)

// GetRequest is the body of PathGet.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// ScanRequest is the body of PathScan; see platform.Table.Scan.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// RowsReply is the response to PathGet and PathScan.
type RowsReply struct {
	Rows []Row `json:"rows"`
}

// Row is the JSON form of platform.Row; values are in base64.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Condition is the JSON form of platform.Condition.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write is the JSON form of platform.Write.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// CommitRequest is the body of PathCommit, the JSON form of platform.Transaction.
type CommitRequest struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// NamesReply is the response to PathObjects.
type NamesReply struct {
	Names []string `json:"names"`
}

// InstancesReply is the response to PathInstances.
type InstancesReply struct {
	Instances []ListedInstance `json:"instances"`
}

// ListedInstance is the JSON form of platform.ListedInstance.
type ListedInstance struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"`
	Addr    string `json:"addr"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving"`
}

// ErrorReply is the body of every response that is not a success.
type ErrorReply struct {
	Error string `json:"error"`
}

// statuses maps the errors of package platform to HTTP statuses. A write with an
// unknown outcome has no status here: the client gets no response, or another
// status.
var statuses = []struct {
	err    error
	status int
}{
	{platform.ErrConflict, http.StatusConflict},
	{platform.ErrThrottled, http.StatusTooManyRequests},
	{platform.ErrNotFound, http.StatusNotFound},
	{platform.ErrUnavailable, http.StatusServiceUnavailable},
}

// EncodeRows converts rows to their JSON form.
func EncodeRows(rows []platform.Row) []Row {
	out := make([]Row, len(rows))
	for i, row := range rows {
		out[i] = Row(row)
	}
	return out
}

func decodeRows(rows []Row) []platform.Row {
	out := make([]platform.Row, len(rows))
	for i, row := range rows {
		out[i] = platform.Row(row)
	}
	return out
}

func encodeTransaction(tx platform.Transaction) CommitRequest {
	var q CommitRequest
	for _, c := range tx.Conditions {
		q.Conditions = append(q.Conditions, Condition(c))
	}
	for _, w := range tx.Writes {
		q.Writes = append(q.Writes, Write(w))
	}
	return q
}

// Transaction converts the request to a platform.Transaction.
func (q CommitRequest) Transaction() platform.Transaction {
	var tx platform.Transaction
	for _, c := range q.Conditions {
		tx.Conditions = append(tx.Conditions, platform.Condition(c))
	}
	for _, w := range q.Writes {
		tx.Writes = append(tx.Writes, platform.Write(w))
	}
	return tx
}

// EncodeListed converts an instance of the list to its JSON form.
func EncodeListed(l platform.ListedInstance) ListedInstance {
	return ListedInstance{
		Name:    l.Name,
		Kind:    l.Kind,
		Addr:    l.Addr,
		Region:  string(l.Place.Region),
		Zone:    string(l.Place.Zone),
		Leaving: l.Leaving,
	}
}

func (l ListedInstance) decode() platform.ListedInstance {
	return platform.ListedInstance{
		Name:    l.Name,
		Kind:    l.Kind,
		Addr:    l.Addr,
		Place:   zone.Place{Region: zone.Region(l.Region), Zone: zone.AvailabilityZone(l.Zone)},
		Leaving: l.Leaving,
	}
}
