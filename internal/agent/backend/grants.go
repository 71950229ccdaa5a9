package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// grantRow is the JSON form of a shard in a call to the grants endpoint.
type grantRow struct {
	Partition string `json:"partition"`
	Token     uint64 `json:"token"`
}

type grantsBody struct {
	Granted []grantRow `json:"granted"`
	Revoked []grantRow `json:"revoked"`
}

// fencePartition returns SERVICE/PARTITION, or SERVICE/PARTITION/KEY of an override.
func fencePartition(shd *controlpb.ShardRef) string {
	name := shd.GetService() + "/" + strconv.FormatUint(uint64(shd.GetPartition()), 10)
	if shd.GetKey() != "" {
		name += "/" + shd.GetKey()
	}
	return name
}

func grantRows(refs []*controlpb.ShardRef) []grantRow {
	rows := make([]grantRow, 0, len(refs))
	for _, ref := range refs {
		rows = append(rows, grantRow{Partition: fencePartition(ref), Token: ref.GetToken()})
	}
	return rows
}

// ReportGrants notifies the backend server of gained and lost shards if it has a grants endpoint; an unusable
// server is notified once it is usable again.
func (cli *Client) ReportGrants(ctx context.Context, granted, revoked []*controlpb.ShardRef) error {
	cli.calls.trigger()
	bdy := grantsBody{Granted: grantRows(granted), Revoked: grantRows(revoked)}
	tgt := cli.recordGrants(bdy)
	if tgt == nil {
		return nil
	}
	return cli.postGrants(ctx, tgt, bdy)
}

// recordGrants stores the grants for a server that recovers, and returns its connections if it can be
// notified now.
func (cli *Client) recordGrants(bdy grantsBody) *target {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	for _, row := range bdy.Revoked {
		if cli.granted[row.Partition] <= row.Token {
			delete(cli.granted, row.Partition)
		}
	}
	for _, row := range bdy.Granted {
		cli.granted[row.Partition] = row.Token
	}
	if !cli.usable() {
		return nil
	}
	return cli.tgt
}

// resendGrants sends all grants to a server that is new or has recovered. Requests are served even if this
// fails, because each carries its token.
func (cli *Client) resendGrants(ctx context.Context, tgt *target) {
	bdy := grantsBody{Granted: cli.allGrants(), Revoked: []grantRow{}}
	if len(bdy.Granted) == 0 {
		return
	}
	if err := cli.postGrants(ctx, tgt, bdy); err != nil {
		cli.cnt.Event("grants_failed")
		logrus.Warnf("backend: sending %d grants to the server failed: %v", len(bdy.Granted), err)
	}
}

func (cli *Client) allGrants() []grantRow {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	rows := make([]grantRow, 0, len(cli.granted))
	for part, tok := range cli.granted {
		rows = append(rows, grantRow{Partition: part, Token: tok})
	}
	return rows
}

func (cli *Client) postGrants(ctx context.Context, tgt *target, bdy grantsBody) error {
	path := cli.grantsPath()
	if path == "" {
		return nil
	}
	buf, err := json.Marshal(bdy)
	if err != nil {
		return errors.Wrap(err, "encode grants")
	}
	ctx, cancel := context.WithTimeout(ctx, grantsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, tgt.base.String()+path, bytes.NewReader(buf))
	if err != nil {
		return errors.Wrap(err, "create grants request")
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := tgt.probes.RoundTrip(req)
	if err != nil {
		return errors.Wrap(err, "send grants")
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxBufferedAnswer))
	if res.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("grants endpoint answered with status %d", res.StatusCode)
	}
	return nil
}

func (cli *Client) grantsPath() string {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	return cli.ann.GrantsPath
}
