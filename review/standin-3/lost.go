package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	readWork      = 120 * time.Millisecond
	lostShare     = 0.4                                        // x of answer_lost
	lostFrom      = 16 * time.Second                           // after the start of an upstream
	lostTime      = 3 * 4 * time.Second                        // three times for_s, one after the other
	readInterval  = 5 * time.Millisecond                       // between two requests
	readCount     = 5200                                       // 26 s
	budgetRatio   = 0.2                                        // retry-budget-ratio
	budgetSlack   = 60                                         // retry-slack
	budgetWindow  = int64(10 * time.Second / time.Microsecond) // retry-window-s
	upstreamCount = 5
)

// losesAnswer reports whether the answer of the run that ends now is lost.
func (ups *upstream) losesAnswer() bool {
	since := time.Since(ups.lostFrom)
	return !ups.lostFrom.IsZero() && since >= 0 && since < lostTime && rand.Float64() < lostShare
}

// answerRead runs an idempotent request and answers on a connection that is kept, or loses the answer and resets the connection.
func (ups *upstream) answerRead(cnn net.Conn, head, attempt string) bool {
	event("run %s", attempt)
	time.Sleep(readWork)
	if ups.losesAnswer() {
		if tcp, ok := cnn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return false
	}
	head += "X-Siskinrill-Attempt-Id: " + attempt + "\r\nX-Siskinrill-Server-Stamp: " + ups.id + "." + attempt + "\r\nContent-Length: 4\r\n"
	_, err := io.WriteString(cnn, "HTTP/1.1 200 OK\r\n"+head+"\r\nread")
	return err == nil
}

// playLostAnswers lets three of five upstreams lose answers of requests that they ran, and judges how often requests are sent again.
func playLostAnswers(dep *deployment, trouble bool) (bool, error) {
	const svc = "shadefinder"
	if err := dep.start(slices.Repeat([]string{svc}, upstreamCount)...); err != nil {
		return false, err
	}
	sts, err := dep.order(http.MethodPut, map[string]any{
		"version": 1, "base-version": 0, "limits": limits,
		"routes": table{Columns: routeColumns, Rows: [][]any{
			{"r-shade", "shop.example", "/order/", "idempotent", 1200, 500, 2, svc, 2, nil},
		}},
		"services": table{Columns: serviceColumns, Rows: [][]any{{svc, "/health", 120, "h1", false, nil, nil, nil}}},
	})
	if err != nil || sts != http.StatusOK {
		return false, fmt.Errorf("the first configuration: status %d, %w", sts, err)
	}
	for num, hst := range dep.sidecars {
		flags := []string{"-read"}
		if trouble && num < 3 {
			flags = append(flags, "-lose-from", lostFrom.String())
			dep.rec.printf("i-%d loses %g of its answers by a reset, from %s after its start on for %s (answer_lost)", num+1, lostShare, lostFrom, lostTime)
		}
		if _, err := dep.startUpstream(hst, fmt.Sprintf("i-%d", num+1), flags...); err != nil {
			return false, err
		}
	}
	if err := dep.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	return dep.sendReads() > 0, nil
}

// sendReads sends the requests of clients, without retries, and returns by how many arrivals the budget was exceeded.
func (dep *deployment) sendReads() int {
	var clients sync.WaitGroup
	clis := make([]*http.Client, upstreamCount)
	for num := range clis {
		clis[num] = &http.Client{Timeout: 1200 * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	}
	var sent []int64
	begin := time.Now()
	for num := range readCount {
		time.Sleep(time.Until(begin.Add(time.Duration(num) * readInterval)))
		sent = append(sent, time.Now().UnixMicro())
		hst := dep.sidecars[num%upstreamCount]
		clients.Go(func() {
			req, err := http.NewRequest(http.MethodGet, "http://"+dep.address(hst, portOutbound)+"/order/"+fmt.Sprint(num), nil)
			if err != nil {
				return
			}
			req.Host = "shop.example"
			req.Header.Set("X-Siskinrill-Attempt-Id", fmt.Sprintf("%016x", num+1))
			req.Header.Set("X-Siskinrill-Deadline-Ms", "1200")
			res, err := clis[num%upstreamCount].Do(req)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
		})
	}
	clients.Wait()
	return dep.judgeRepeats(sent)
}

// judgeRepeats compares the arrivals beyond the first of each request with the budget, in each window that begins with such an arrival.
func (dep *deployment) judgeRepeats(sent []int64) int {
	dep.mu.Lock()
	events := append([]judged{}, dep.events...)
	dep.mu.Unlock()
	slices.SortFunc(events, func(one, two judged) int { return int(one.at - two.at) })
	runs, most, busiest := map[string]int{}, 0, ""
	var repeats []int64
	for _, evt := range events {
		if runs[evt.attempt]++; runs[evt.attempt] > 1 {
			repeats = append(repeats, evt.at)
		}
		if runs[evt.attempt] > most {
			most, busiest = runs[evt.attempt], evt.attempt
		}
	}
	dep.rec.printf("%d requests were sent, %d arrivals were beyond the first of their request; %s ran %d times", len(sent), len(repeats), busiest, most)
	requests := 0 // in the window with most of them
	for pos := range sent {
		requests = max(requests, countWithin(sent[pos:], budgetWindow))
	}
	allowed, worst := int(budgetRatio*float64(requests))+budgetSlack, 0
	for pos := range repeats {
		worst = max(worst, countWithin(repeats[pos:], budgetWindow))
	}
	dep.rec.printf("%d arrivals beyond the first in 10 s, for %d requests; allowed %d", worst, requests, allowed)
	return max(worst-allowed, 0)
}

// countWithin returns how many times lie within a span from the first one on.
func countWithin(times []int64, span int64) int {
	num := 0
	for num < len(times) && times[num] < times[0]+span {
		num++
	}
	return num
}
