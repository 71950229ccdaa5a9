package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

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

// Grants tells the backend server which shards it now owns and which it lost; without a grants endpoint it does nothing.
func (cli *Client) Grants(ctx context.Context, granted, revoked []*controlpb.ShardRef) error {
	tgt, path := cli.grantsTarget()
	if tgt == nil || path == "" {
		return nil
	}
	buf, err := json.Marshal(grantsBody{Granted: grantRows(granted), Revoked: grantRows(revoked)})
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
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, wholeAnswer))
	if res.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("grants answered with status %d", res.StatusCode)
	}
	return nil
}

func (cli *Client) grantsTarget() (*target, string) {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	if !cli.usable() {
		return nil, ""
	}
	return cli.tgt, cli.ann.GrantsPath
}
