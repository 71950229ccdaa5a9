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

// accept takes over an announcement and reports whether the server has just begun to leave; one that had failed is probed before it is used again.
func (cli *Client) accept(ctx context.Context, ann *announcement) bool {
	tgt, fresh, failed := cli.adopt(ann)
	if failed && !cli.returned(ctx, tgt) {
		return false
	}
	if fresh || failed {
		cli.regrant(ctx, tgt)
	}
	cli.mu.Lock()
	defer cli.mu.Unlock()
	if cli.tgt != tgt {
		return false
	}
	cli.state = controlpb.UpstreamState_UPSTREAM_STATE_SERVING
	if ann.Leaving {
		cli.state = controlpb.UpstreamState_UPSTREAM_STATE_DRAINING
	}
	first := ann.Leaving && !cli.left
	cli.left = ann.Leaving
	return first
}

// adopt makes an announcement the current one; fresh means another address than before.
func (cli *Client) adopt(ann *announcement) (tgt *target, fresh, failed bool) {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	old := cli.ann
	cli.ann = ann
	cli.heard = time.Now()
	fresh = old == nil || old.URL != ann.URL || old.Connections != ann.Connections
	if fresh {
		if cli.tgt != nil {
			cli.tgt.close()
		}
		cli.tgt = newTarget(ann)
	}
	if old != nil && old.ID != ann.ID {
		cli.holdUntil = time.Time{}
	}
	return cli.tgt, fresh, cli.state == controlpb.UpstreamState_UPSTREAM_STATE_FAILED
}

// returned reports whether a failed server may be used again.
func (cli *Client) returned(ctx context.Context, tgt *target) bool {
	if cli.held() || !cli.probe(ctx, tgt) {
		return false
	}
	cli.mtr.reset()
	cli.cnt.Event("backend_returned")
	logrus.Info("backend: the server is back")
	return true
}

func (cli *Client) held() bool {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	return time.Now().Before(cli.holdUntil)
}
