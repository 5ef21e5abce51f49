package rest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"

	"github.com/trefoilwalk/trefoilwalk/link/httpconn"
	"github.com/trefoilwalk/trefoilwalk/link/platform"
	"github.com/trefoilwalk/trefoilwalk/link/progress"
)

type table struct{ c *Client }

// Get implements platform.Table.
func (t table) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	var reply RowsReply
	err := t.c.read(ctx, PathGet, GetRequest{Keys: keys}, &reply)
	return decodeRows(reply.Rows), err
}

// Scan implements platform.Table.
func (t table) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	var reply RowsReply
	err := t.c.read(ctx, PathScan, ScanRequest{Prefix: prefix, After: after, Limit: limit}, &reply)
	return decodeRows(reply.Rows), err
}

// Commit implements platform.Table.
func (t table) Commit(ctx context.Context, tx platform.Transaction) error {
	body, err := json.Marshal(encodeTransaction(tx))
	if err != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	_, err = t.c.exchange(ctx, call{method: http.MethodPost, path: PathCommit, body: body, write: true})
	return err
}

// read posts a request that writes nothing, and decodes the reply.
func (c *Client) read(ctx context.Context, path string, request, reply any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	return c.exchangeJSON(ctx, call{method: http.MethodPost, path: path, body: body}, reply)
}

// exchangeJSON makes a call that writes nothing, and decodes the reply.
func (c *Client) exchangeJSON(ctx context.Context, q call, reply any) error {
	body, err := c.exchange(ctx, q)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, reply); err != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	return nil
}

type objects struct{ c *Client }

func object(method, name string) call {
	return call{method: method, path: PathObject, query: url.Values{ParamName: {name}}}
}

// Put implements platform.Objects.
func (o objects) Put(ctx context.Context, name string, body []byte) error {
	q := object(http.MethodPut, name)
	q.body, q.write = body, true
	_, err := o.c.exchange(ctx, q)
	return err
}

// Get implements platform.Objects.
func (o objects) Get(ctx context.Context, name string) ([]byte, error) {
	return o.c.exchange(ctx, object(http.MethodGet, name))
}

// Delete implements platform.Objects.
func (o objects) Delete(ctx context.Context, name string) error {
	q := object(http.MethodDelete, name)
	q.write = true
	_, err := o.c.exchange(ctx, q)
	return err
}

// List implements platform.Objects.
func (o objects) List(ctx context.Context, prefix string) ([]string, error) {
	var reply NamesReply
	q := call{method: http.MethodGet, path: PathObjects, query: url.Values{ParamPrefix: {prefix}}}
	err := o.c.exchangeJSON(ctx, q, &reply)
	return reply.Names, err
}

type instances struct{ c *Client }

// taggedList is a list of instances and the entity tag of its reply.
type taggedList struct {
	tag  string
	list []platform.ListedInstance
}

// List implements platform.Instances. The list is long and seldom changes, so the
// request carries the entity tag of the cached list, and an unchanged list is not
// transferred again. The caller owns the returned slice.
func (i instances) List(ctx context.Context) ([]platform.ListedInstance, error) {
	ctx, read := progress.Start(ctx, platform.CallLimits)
	defer read.End()
	last := i.c.list.Load()
	q := call{method: http.MethodGet, path: PathInstances}
	if last != nil {
		q.entityTag = last.tag
	}
	resp, err := i.c.send(ctx, q)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified {
		return slices.Clone(last.list), nil
	}
	list, err := decodeInstances(progress.Reader(ctx, resp.Body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	if tag := resp.Header.Get("ETag"); tag != "" {
		i.c.list.Store(&taggedList{tag: tag, list: slices.Clone(list)})
	}
	return list, nil
}

// maxListed bounds the instances in a list: twenty times the size to design for.
const maxListed = 100_000

func decodeInstances(body io.Reader) ([]platform.ListedInstance, error) {
	text, err := httpconn.ReadAtMost(body, maxReply)
	if err != nil {
		return nil, err
	}
	// Checked before decoding: an empty instance takes many times its text.
	if n := bytes.Count(text, []byte("{")); n > maxListed {
		return nil, fmt.Errorf("list of %d instances, at most %d", n, maxListed)
	}
	var reply InstancesReply
	if err := json.Unmarshal(text, &reply); err != nil {
		return nil, err
	}
	list := make([]platform.ListedInstance, len(reply.Instances))
	for n, listed := range reply.Instances {
		list[n] = listed.decode()
	}
	return list, nil
}

type weights struct{ c *Client }

// Fetch implements platform.Weights. CallTimeout does not apply, because reading
// weights takes longer.
func (w weights) Fetch(ctx context.Context, model string) (io.ReadCloser, error) {
	q := call{method: http.MethodGet, path: PathWeights, query: url.Values{ParamModel: {model}}}
	resp, err := w.c.send(ctx, q)
	if err != nil {
		return nil, err
	}
	return resp.Body, nil
}
