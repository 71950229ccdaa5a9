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

// grantRow is one shard as the backend server is told of it.
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

// Grants tells the backend server which shards it now owns and which it lost; without a grants endpoint it does nothing, and a server that cannot be used now is told when it can.
func (cli *Client) Grants(ctx context.Context, granted, revoked []*controlpb.ShardRef) error {
	cli.calls.trigger()
	bdy := grantsBody{Granted: grantRows(granted), Revoked: grantRows(revoked)}
	tgt := cli.recordGrants(bdy)
	if tgt == nil {
		return nil
	}
	return cli.postGrants(ctx, tgt, bdy)
}

// recordGrants remembers the grants for a server that comes back, and returns the pools of one that can be told now.
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

// resendGrants tells a server that is new or has come back of all grants; requests go on if that fails, because each one carries its token.
func (cli *Client) resendGrants(ctx context.Context, tgt *target) {
	bdy := grantsBody{Granted: cli.allGrants(), Revoked: []grantRow{}}
	if len(bdy.Granted) == 0 {
		return
	}
	if err := cli.postGrants(ctx, tgt, bdy); err != nil {
		cli.cnt.Event("grants_failed")
		logrus.Warnf("backend: the server was not told of %d grants: %v", len(bdy.Granted), err)
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
		return errors.Wrap(err, "grants request")
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := tgt.probes.RoundTrip(req)
	if err != nil {
		return errors.Wrap(err, "grants")
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxBufferedAnswer))
	if res.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("grants answered with status %d", res.StatusCode)
	}
	return nil
}

func (cli *Client) grantsPath() string {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	return cli.ann.GrantsPath
}
