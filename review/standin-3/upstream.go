package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	upstreamSlots     = 18
	heartbeatInterval = 870 * time.Millisecond
	drainTime         = 2 * time.Second
	maxAnswer         = 4 << 10 // of an answer to a heartbeat
	// workTime is until the first half of an answer is sent, halfTime until the rest of it.
	workTime = 200 * time.Millisecond
	halfTime = 800 * time.Millisecond
)

// wholeBody is the body of each answer to a client's request, which names the request.
func wholeBody(attempt string) string { return strings.Repeat("answer to "+attempt+"\n", 40) }

// upstream is a backend server that does what PROTOCOL.md says. Its answers have no length and end with their connections.
type upstream struct {
	id, service, zone, address, control string

	born     int64
	mu       sync.Mutex
	sequence int
	state    string
	shards   *shards // nil for a service without keys
	reads    bool
	lostFrom time.Time // zero: it loses no answers
	slowFrom time.Time // zero: it does not turn slow
}

func runUpstream(args []string) int {
	ups := &upstream{born: time.Now().UnixMilli(), state: "ready"}
	fls := flag.NewFlagSet("upstream", flag.ExitOnError)
	fls.StringVar(&ups.id, "id", "", "id")
	fls.StringVar(&ups.service, "service", "", "service")
	fls.StringVar(&ups.zone, "zone", "", "zone")
	fls.StringVar(&ups.address, "address", "", "own address")
	fls.StringVar(&ups.control, "control", "", "address for heartbeats")
	sharded := fls.Bool("sharded", false, "the service is divided by key")
	slowFrom := fls.Duration("slow-from", 0, "time after its start at which it turns slow, 0: never")
	read := fls.Bool("read", false, "its answers have a length, on connections that are kept")
	loseFrom := fls.Duration("lose-from", 0, "time after its start from which on it loses answers, 0: never")
	_ = fls.Parse(args)
	ups.reads = *read
	if *loseFrom > 0 {
		ups.lostFrom = time.Now().Add(*loseFrom)
	}
	if *sharded {
		ups.shards = newShards()
	}
	if *slowFrom > 0 {
		ups.slowFrom = time.Now().Add(*slowFrom)
	}
	lis, err := net.Listen("tcp", ups.address)
	if err != nil {
		fmt.Println(err)
		return exitFailed
	}
	go ups.serve(lis)
	ups.beatUntilEnd()
	return exitHeld
}

// beatUntilEnd sends heartbeats; after SIGTERM it reports that it drains, serves on for the time of a drain, deregisters and ends.
func (ups *upstream) beatUntilEnd() {
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM)
	tck := time.NewTicker(heartbeatInterval)
	var end <-chan time.Time
	rush := make(chan struct{})
	if ups.shards != nil {
		rush = ups.shards.rush
	}
	for {
		acked := ups.beat()
		if acked && ups.state == "draining" && end == nil {
			fmt.Println("its draining is acknowledged")
			end = time.After(drainTime + 500*time.Millisecond)
		}
		select {
		case <-tck.C:
		case <-rush:
			time.Sleep(rushAgain)
		case <-term:
			ups.state = "draining"
			fmt.Println("reports that it drains")
		case <-end:
			ups.call(http.MethodDelete, nil)
			fmt.Println("has deregistered and ends")
			return
		}
	}
}

func (ups *upstream) beat() bool {
	ups.sequence++
	body := map[string]any{
		"service": ups.service, "address": ups.address, "zone": ups.zone, "version": "v1", "slots": upstreamSlots,
		"state": ups.state, "warmup-left-ms": 0, "sequence": ups.sequence, "born": ups.born,
	}
	if ups.shards == nil {
		_, acked := ups.call(http.MethodPut, body)
		return acked
	}
	holds, released := ups.shards.report()
	body["holds"], body["released"] = holds, released
	sent := time.Now()
	raw, acked := ups.call(http.MethodPut, body)
	if acked {
		ups.shards.apply(raw, sent, len(released))
	}
	return acked
}

// call makes a call to the control address of the own host and reports whether it was acknowledged.
func (ups *upstream) call(method string, body any) ([]byte, bool) {
	raw, _ := json.Marshal(body)
	req, err := http.NewRequest(method, "http://"+ups.control+"/siskinrill/instances/"+ups.id, bytes.NewReader(raw))
	if err != nil {
		return nil, false
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := (&http.Client{Timeout: time.Second}).Do(req)
	if err != nil {
		return nil, false
	}
	defer res.Body.Close()
	dat, err := io.ReadAll(res.Body)
	return dat, err == nil && res.StatusCode == http.StatusOK && len(dat) <= maxAnswer
}

func (ups *upstream) serve(lis net.Listener) {
	for {
		cnn, err := lis.Accept()
		if err != nil {
			return
		}
		go ups.answer(cnn)
	}
}

// answer serves one connection.
func (ups *upstream) answer(cnn net.Conn) {
	defer cnn.Close()
	rdr := bufio.NewReader(cnn)
	for {
		req, err := http.ReadRequest(rdr)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		attempt, expected := req.Header.Get("X-Siskinrill-Attempt-Id"), req.Header.Get("X-Siskinrill-Expect-Instance")
		head := "X-Siskinrill-Instance-Id: " + ups.id + "\r\nX-Siskinrill-Instance-Load: 0,0,18\r\n"
		switch {
		case attempt == "": // the health path
			_, _ = io.WriteString(cnn, "HTTP/1.1 200 OK\r\n"+head+"Content-Length: 0\r\n\r\n")
			continue
		case expected != "" && expected != ups.id:
			_, _ = io.WriteString(cnn, "HTTP/1.1 421 Misdirected Request\r\n"+head+"Content-Length: 0\r\n\r\n")
			continue
		}
		if ups.shards != nil {
			ups.answerKeyed(cnn, req, head+"X-Siskinrill-Attempt-Id: "+attempt+"\r\n", attempt)
			continue
		}
		if ups.reads {
			if !ups.answerRead(cnn, head, attempt) {
				return
			}
			continue
		}
		fmt.Println("runs", attempt)
		time.Sleep(workTime)
		body := wholeBody(attempt)
		head += "X-Siskinrill-Attempt-Id: " + attempt + "\r\nX-Siskinrill-Server-Stamp: " + ups.id + "." + attempt + "\r\nConnection: close\r\n"
		_, _ = io.WriteString(cnn, "HTTP/1.1 200 OK\r\n"+head+"\r\n"+body[:len(body)/2])
		time.Sleep(halfTime)
		_, _ = io.WriteString(cnn, body[len(body)/2:])
		return
	}
}

// answerKeyed runs a request with a key, if the key is held.
func (ups *upstream) answerKeyed(cnn net.Conn, req *http.Request, head, attempt string) {
	key, err := strconv.Atoi(req.Header.Get("X-Siskinrill-Shard-Key"))
	if err != nil || !ups.shards.begin(key) {
		_, _ = io.WriteString(cnn, "HTTP/1.1 421 Misdirected Request\r\n"+head+"X-Siskinrill-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return
	}
	work := orderWork
	if slow := time.Since(ups.slowFrom); !ups.slowFrom.IsZero() && slow >= 0 && slow < slowTime {
		work *= slowness
	}
	time.Sleep(work)
	status := "200 OK"
	if !ups.shards.end(key) {
		status = "500 Internal Server Error" // the work outlasted its lease
	}
	head += "X-Siskinrill-Server-Stamp: " + ups.id + "." + attempt + "\r\nContent-Length: 3\r\n"
	_, _ = io.WriteString(cnn, "HTTP/1.1 "+status+"\r\n"+head+"\r\nkit")
}
