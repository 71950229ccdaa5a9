package ingress

import (
	"io"
	"net/http"
	"time"
)

const (
	// bodyTimeout limits the time for a body, so that one that never ends does not keep its memory.
	bodyTimeout = 10 * time.Second
	// bodyCost is what a byte of a body takes in bytes of memory while it is read, decoded and processed.
	bodyCost = 4
	// bodyStep is how many bytes of a body are read at once.
	bodyStep = 32 << 10
)

// BodyError means that other bodies have taken the memory that is left for them.
type BodyError struct{}

// Error tells that the memory is taken.
func (*BodyError) Error() string {
	return "no memory is left for the body of the request, try again later"
}

// ReadRequest reads the body of an operator's request of at most limit bytes like ReadBody.
func ReadRequest(wri http.ResponseWriter, req *http.Request, limit int64) (dat []byte, release func(), err error) {
	ctl := http.NewResponseController(wri)
	_ = ctl.SetReadDeadline(time.Now().Add(bodyTimeout))
	defer func() { _ = ctl.SetReadDeadline(time.Time{}) }()
	return bodies.ReadBody(http.MaxBytesReader(wri, req.Body, limit))
}

// ReadBody reads a body to its end. It holds memory for it until release is called; one body is read in any case. The error is a
// *BodyError or that of the reader.
func (mem *Memory) ReadBody(rdr io.Reader) (dat []byte, release func(), err error) {
	held := int64(0)
	release = func() { mem.Return(held) }
	for {
		if !mem.takeMore(bodyStep*bodyCost, held) {
			release()
			return nil, func() {}, &BodyError{}
		}
		held += bodyStep * bodyCost
		dat, err = readStep(rdr, dat)
		if err == io.EOF {
			return dat, release, nil
		}
		if err != nil {
			release()
			return nil, func() {}, err
		}
	}
}

// readStep reads up to bodyStep bytes behind those that were read.
func readStep(rdr io.Reader, dat []byte) ([]byte, error) {
	end := len(dat) + bodyStep
	for len(dat) < end {
		if len(dat) == cap(dat) {
			dat = append(dat, 0)[:len(dat)]
		}
		num, err := rdr.Read(dat[len(dat):min(cap(dat), end)])
		dat = dat[:len(dat)+num]
		if err != nil {
			return dat, err
		}
	}
	return dat, nil
}

// takeMore takes bytes for a holder of a number of bytes, also beyond the limit if there is no other.
func (mem *Memory) takeMore(num, held int64) bool {
	if mem.Take(num) {
		return true
	}
	return mem.used.CompareAndSwap(held, held+num)
}
