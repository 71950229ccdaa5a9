package backend

import (
	"io"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// writeGrace is the time between the end of the connection and the note that the request was written, which another goroutine makes.
const writeGrace = 50 * time.Millisecond

// written is the end of the write of a request.
type written struct {
	once sync.Once
	done chan struct{}
}

func newWritten() *written { return &written{done: make(chan struct{})} }

func (wrt *written) finish() { wrt.once.Do(func() { close(wrt.done) }) }

// unframedBody is the body of an unframed answer. The end of its connection is that of the answer only if nothing says otherwise.
type unframedBody struct {
	io.ReadCloser
	rnn *run
}

// Read reads from the body; an end that proves nothing is an error.
func (ubd *unframedBody) Read(buf []byte) (int, error) {
	num, err := ubd.ReadCloser.Read(buf)
	if err != io.EOF {
		return num, err
	}
	if cause := ubd.rnn.doubtEnd(); cause != nil {
		return num, cause
	}
	return num, io.EOF
}

// doubtEnd returns why the end of the connection is not that of an unframed answer, nil if nothing says so. A server that has crashed
// ends its connections like one that has answered, so its port is asked.
func (rnn *run) doubtEnd() error {
	select {
	case <-rnn.written.done:
	case <-rnn.ctx.Done():
	case <-time.After(writeGrace):
	}
	switch {
	case !rnn.sent.Load():
		return errors.New("the connection ended before the request was written")
	case rnn.failed.Load():
		return errors.New("the connection ended while the server was failing")
	case rnn.cli.mayEnd(rnn.tgt):
		return nil
	case rnn.cli.hasFailed():
		return errors.New("the connection ended while the server was failing")
	case rnn.cli.refusesConnections(rnn.ctx, rnn.tgt):
		return errors.New("the connection ended and the server's port refuses further ones")
	}
	return nil
}

// mayEnd reports whether a server is leaving or another one has taken its place, so that it finishes what it has and ends.
func (cli *Client) mayEnd(tgt *target) bool {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	return cli.leaving || cli.tgt != tgt
}

// hasFailed reports whether the current server has been marked as failed.
func (cli *Client) hasFailed() bool {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	return cli.state == controlpb.UpstreamState_UPSTREAM_STATE_FAILED
}
