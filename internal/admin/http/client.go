package http

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/httpanswer"
)

// maxAnswerBytes limits the body of an answer.
const maxAnswerBytes = 128 << 20

// RefusedError is an answer of the admin API with a status other than 200.
type RefusedError struct {
	code   int
	reason string
	detail string
}

// Code returns the HTTP status.
func (rfe *RefusedError) Code() int { return rfe.code }

// Reason returns the reason of the problem document in snake case, or unexpected_answer if there is none.
func (rfe *RefusedError) Reason() string { return rfe.reason }

// Error returns the reason and the detail, separated by a colon.
func (rfe *RefusedError) Error() string { return rfe.reason + ": " + rfe.detail }

// Client calls the admin API of one process.
type Client struct {
	address string
	token   string
	client  *http.Client
}

// NewClient returns a client of the admin API at an IP:port; the token may be empty.
func NewClient(adr, tok string) *Client {
	return &Client{address: adr, token: tok, client: &http.Client{Transport: httpanswer.FramedTransport(http.DefaultTransport)}}
}

// Status returns the leader's view of the members, services and upstreams.
func (cli *Client) Status(ctx context.Context) (*controlpb.StatusAnswer, error) {
	var ans controlpb.StatusAnswer
	return &ans, cli.call(ctx, "/v1/status", nil, &ans)
}

// Owner returns the upstream and the agent that own a key of a service.
func (cli *Client) Owner(ctx context.Context, svc, key string) (*controlpb.OwnerAnswer, error) {
	var ans controlpb.OwnerAnswer
	qry := url.Values{"service": {svc}, "key": {key}}
	return &ans, cli.call(ctx, "/v1/owner?"+qry.Encode(), nil, &ans)
}

// Show returns the configuration that is in force and its log index.
func (cli *Client) Show(ctx context.Context) (*controlpb.ShowAnswer, error) {
	var ans controlpb.ShowAnswer
	return &ans, cli.call(ctx, "/v1/config", nil, &ans)
}

// Apply submits a configuration; a refused change is an answer, not an error.
func (cli *Client) Apply(ctx context.Context, req *controlpb.ApplyRequest) (*controlpb.ApplyAnswer, error) {
	var ans controlpb.ApplyAnswer
	return &ans, cli.call(ctx, "/v1/config", req, &ans)
}

// Drain starts or undoes the drain of an upstream.
func (cli *Client) Drain(ctx context.Context, req *controlpb.DrainRequest) (*controlpb.DrainAnswer, error) {
	var ans controlpb.DrainAnswer
	return &ans, cli.call(ctx, "/v1/drain", req, &ans)
}

// DrainZone starts or ends the drain of all upstreams in a zone.
func (cli *Client) DrainZone(ctx context.Context, zon string, undo bool) (*controlpb.DrainZoneAnswer, error) {
	mth := http.MethodPost
	if undo {
		mth = http.MethodDelete
	}
	var ans controlpb.DrainZoneAnswer
	cod, dat, err := cli.request(ctx, mth, "/v1/zones/"+url.PathEscape(zon)+"/drain", nil)
	if err != nil {
		return nil, err
	}
	return &ans, decodeAnswer(cod, dat, &ans)
}

// Release ends the quarantine of a request.
func (cli *Client) Release(ctx context.Context, fingerprint uint64) (*controlpb.ReleaseAnswer, error) {
	var ans controlpb.ReleaseAnswer
	cod, dat, err := cli.request(ctx, http.MethodDelete, fmt.Sprintf("/v1/quarantine/%016x", fingerprint), nil)
	if err != nil {
		return nil, err
	}
	return &ans, decodeAnswer(cod, dat, &ans)
}

// Members returns the members of the control group with their lag.
func (cli *Client) Members(ctx context.Context) (*controlpb.StatusAnswer, error) {
	var ans controlpb.StatusAnswer
	return &ans, cli.call(ctx, "/v1/members", nil, &ans)
}

// ChangeMembers adds, removes or replaces a member of the control group, or transfers leadership.
func (cli *Client) ChangeMembers(ctx context.Context, req *controlpb.MembersRequest) (*controlpb.MembersAnswer, error) {
	var ans controlpb.MembersAnswer
	return &ans, cli.call(ctx, "/v1/members", req, &ans)
}

// Ready returns the readiness of the process itself, whatever the HTTP status.
func (cli *Client) Ready(ctx context.Context) (Readiness, error) {
	var rdy Readiness
	_, dat, err := cli.send(ctx, "/v1/ready", nil)
	if err != nil {
		return rdy, err
	}
	return rdy, wrap(json.Unmarshal(dat, &rdy), "decode answer")
}

func (cli *Client) call(ctx context.Context, pth string, ask, ans proto.Message) error {
	var bdy []byte
	if ask != nil {
		dat, err := protojson.Marshal(ask)
		if err != nil {
			return errors.Wrap(err, "encode request")
		}
		bdy = dat
	}
	cod, dat, err := cli.send(ctx, pth, bdy)
	if err != nil {
		return err
	}
	return decodeAnswer(cod, dat, ans)
}

// decodeAnswer decodes the body of an answer; it returns a *RefusedError for other statuses than 200, apart from that of a
// refused configuration change.
func decodeAnswer(cod int, dat []byte, ans proto.Message) error {
	_, isApply := ans.(*controlpb.ApplyAnswer)
	if cod != http.StatusOK && (!isApply || cod != http.StatusConflict || protojson.Unmarshal(dat, ans) != nil) {
		return newRefusedError(cod, dat)
	}
	return wrap(protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(dat, ans), "decode answer")
}

// wrap returns nil for a nil error, which errors.Wrap does not.
func wrap(err error, msg string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, msg)
}

func newRefusedError(cod int, dat []byte) error {
	var det problemDetails
	if json.Unmarshal(dat, &det) != nil || det.Reason == "" {
		return &RefusedError{code: cod, reason: "unexpected_answer", detail: fmt.Sprintf("HTTP status %d", cod)}
	}
	return &RefusedError{code: cod, reason: det.Reason, detail: det.Detail}
}

// send sends a GET, or a POST if there is a body.
func (cli *Client) send(ctx context.Context, pth string, bdy []byte) (int, []byte, error) {
	mth := http.MethodGet
	if bdy != nil {
		mth = http.MethodPost
	}
	return cli.request(ctx, mth, pth, bdy)
}

// request sends a request and returns the status and the complete body of the answer.
func (cli *Client) request(ctx context.Context, mth, pth string, bdy []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, mth, "http://"+cli.address+pth, bytes.NewReader(bdy))
	if err != nil {
		return 0, nil, errors.Wrap(err, "build request")
	}
	req.Header.Set("Content-Type", "application/json")
	if cli.token != "" {
		req.Header.Set("Authorization", "Bearer "+cli.token)
	}
	res, err := cli.client.Do(req)
	if err != nil {
		return 0, nil, errors.Wrap(err, "call admin API at "+cli.address)
	}
	defer func() { _ = res.Body.Close() }()
	dat, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	if len(dat) > maxAnswerBytes {
		return 0, nil, errors.Errorf("the answer is longer than %d bytes", maxAnswerBytes)
	}
	return res.StatusCode, dat, wrap(err, "read answer")
}
