package backend

import (
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/go-faster/errors"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/httpanswer"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// answer returns the head of an answer with all of its body if that is short, otherwise with a streamed body.
func (rnn *run) answer(res *http.Response) (*siskinrill.Answer, *siskinrill.Refusal) {
	unframed := httpanswer.IsUnframed(res)
	if unframed && !rnn.cli.opt.Unframed {
		res.Body.Close()
		rnn.cli.mtr.fail()
		return nil, siskinrill.Unknown(siskinrill.ReasonBackendBadAnswer, errors.New("the answer has neither a content length nor chunked encoding"))
	}
	if unframed {
		res.Body = &unframedBody{ReadCloser: res.Body, rnn: rnn}
	}
	hea := &peerpb.Response{Status: uint32(res.StatusCode), BodyLength: res.ContentLength}
	hea.Headers = headerFields(res.Header)
	if res.ContentLength < 0 || res.ContentLength > maxBufferedAnswer {
		return siskinrill.NewAnswer(hea, &answerBody{rnn: rnn, res: res}), nil
	}
	return rnn.readAnswer(res, hea)
}

func (rnn *run) readAnswer(res *http.Response, hea *peerpb.Response) (*siskinrill.Answer, *siskinrill.Refusal) {
	defer res.Body.Close()
	buf, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, rnn.classifyReadError(err)
	}
	rnn.end()
	rnn.cli.crashes.recordAnswer(rnn.att)
	hea.Body = buf
	hea.BodyLength = int64(len(buf)) // an answer to HEAD states the length of a body that it does not have
	hea.BodyEnd = true
	return siskinrill.NewAnswer(hea, nil), nil
}

// classifyReadError returns the refusal for an answer that was interrupted.
func (rnn *run) classifyReadError(err error) *siskinrill.Refusal {
	rsn := siskinrill.ReasonBackendBadAnswer
	switch {
	case rnn.failed.Load():
		rsn = siskinrill.ReasonBackendLost
	case errors.Is(rnn.ctx.Err(), context.Canceled):
		rsn = siskinrill.ReasonCallerGone
	case rnn.ctx.Err() != nil:
		rsn = siskinrill.ReasonBackendTimeout
	}
	if rsn != siskinrill.ReasonCallerGone {
		rnn.cli.mtr.fail()
	}
	if rsn == siskinrill.ReasonBackendBadAnswer || rsn == siskinrill.ReasonBackendLost {
		return rnn.lost(rsn, err)
	}
	return siskinrill.Unknown(rsn, err)
}

// answerBody streams a long answer; a read error is a *siskinrill.Refusal, unless it is io.EOF after the
// complete answer.
type answerBody struct {
	rnn  *run
	res  *http.Response
	once sync.Once
}

// Read reads from the answer; an interrupted answer is counted and returned as a refusal.
func (abd *answerBody) Read(buf []byte) (int, error) {
	num, err := abd.res.Body.Read(buf)
	if err == io.EOF {
		abd.rnn.cli.crashes.recordAnswer(abd.rnn.att)
	}
	if err == nil || err == io.EOF {
		return num, err
	}
	return num, abd.rnn.cli.countRefusal(abd.rnn.classifyReadError(err))
}

// Close returns the connection to the pool, or closes it if the answer was not read completely.
func (abd *answerBody) Close() error {
	err := abd.res.Body.Close()
	abd.once.Do(abd.rnn.end)
	return err
}
