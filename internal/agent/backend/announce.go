package backend

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// maxAnnouncement is the longest body of an announcement.
const maxAnnouncement = 64 << 10

// announceAnswer is the answer to an announcement.
type announceAnswer struct {
	Accepted bool   `json:"accepted"`
	Draining bool   `json:"draining"`
	MayStop  bool   `json:"may_stop"`
	Reason   string `json:"reason,omitempty"`
}

// Handler returns the handler of the address to which the backend server announces itself.
func (cli *Client) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /announce", cli.announce)
	return mux
}

func (cli *Client) announce(wri http.ResponseWriter, req *http.Request) {
	ann := &announcement{}
	err := json.NewDecoder(http.MaxBytesReader(wri, req.Body, maxAnnouncement)).Decode(ann)
	if err == nil {
		err = ann.check()
	}
	if err != nil {
		answerAnnouncement(wri, http.StatusBadRequest, announceAnswer{Reason: err.Error()})
		return
	}
	if other := cli.otherAlive(ann); other != "" {
		cli.cnt.Event("announce_other_id")
		answerAnnouncement(wri, http.StatusConflict, announceAnswer{Reason: "this agent guards " + other})
		return
	}
	left := cli.accept(req.Context(), ann)
	cli.report()
	if left && cli.opt.OnDrain != nil {
		logrus.Infof("backend: server %s is leaving", ann.ID)
		cli.opt.OnDrain()
	}
	answerAnnouncement(wri, http.StatusOK, cli.standing(ann))
}

func answerAnnouncement(wri http.ResponseWriter, status int, ans announceAnswer) {
	wri.Header().Set("Content-Type", "application/json")
	wri.WriteHeader(status)
	_ = json.NewEncoder(wri).Encode(ans)
}

func (cli *Client) standing(ann *announcement) announceAnswer {
	ans := announceAnswer{Accepted: true, Draining: ann.Leaving}
	if cli.opt.Draining != nil {
		ans.Draining = ans.Draining || cli.opt.Draining()
	}
	ans.MayStop = ann.Leaving && cli.opt.MayStop != nil && cli.opt.MayStop()
	return ans
}

// otherAlive returns the id of another backend server that is announced and has not failed.
func (cli *Client) otherAlive(ann *announcement) string {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	if cli.ann == nil || cli.ann.ID == ann.ID || !cli.usable() || time.Since(cli.heard) >= announceExpiry {
		return ""
	}
	return cli.ann.ID
}

// accept takes over an announcement and reports whether the server has just begun to leave; a server that had failed is probed first.
func (cli *Client) accept(ctx context.Context, ann *announcement) bool {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	old := cli.ann
	cli.ann = ann
	cli.heard = time.Now()
	if cli.tgt == nil || old == nil || old.URL != ann.URL || old.Connections != ann.Connections {
		if cli.tgt != nil {
			cli.tgt.close()
		}
		cli.tgt = newTarget(ann)
	}
	if cli.state == controlpb.UpstreamState_UPSTREAM_STATE_FAILED && !cli.returned(ctx, old) {
		return false
	}
	cli.state = controlpb.UpstreamState_UPSTREAM_STATE_SERVING
	if ann.Leaving {
		cli.state = controlpb.UpstreamState_UPSTREAM_STATE_DRAINING
	}
	return ann.Leaving && (old == nil || !old.Leaving)
}

// returned reports whether a failed server may be used again; the caller holds the mutex, which is given up during the probe.
func (cli *Client) returned(ctx context.Context, old *announcement) bool {
	if cli.ann.ID == old.ID && time.Now().Before(cli.holdUntil) {
		return false
	}
	tgt := cli.tgt
	cli.mu.Unlock()
	okay := cli.probe(ctx, tgt)
	cli.mu.Lock()
	if !okay || cli.tgt != tgt {
		return false
	}
	cli.mtr.reset()
	cli.cnt.Event("backend_returned")
	logrus.Infof("backend: server %s is back", cli.ann.ID)
	return true
}
