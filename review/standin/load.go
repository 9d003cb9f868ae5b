package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Load beside the disruptions, and the platform's limit.
const (
	plainWork      = 200 * time.Millisecond // of the plain service; the sheet's longest is 220 ms
	plainClients   = 12                     // each with a kept channel and one request at a time
	streamClients  = 12
	streamEvents   = 17
	streamInterval = 30 * time.Millisecond
	restartDelay   = 500 * time.Millisecond
)

// localServers are servers in this process.
type localServers struct {
	record    *record
	listeners []net.Listener
	arrived   sync.Map // server by request
}

// start starts a server and registers it.
func (l *localServers) start(d *deployment, name, service string, capacity int, handler http.HandlerFunc) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	l.listeners = append(l.listeners, listener)
	checked := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Instance-Id", name)
		if id := r.Header.Get("Attempt-Id"); id != "" {
			w.Header().Set("Attempt-Id", id)
		}
		switch {
		case strings.HasPrefix(r.URL.Path, "/opalbridge/"):
			fmt.Fprint(w, `{"phase":"both","models":[],"in_flight":false,"call_seq":2,"queued":0,"running":0,"kv_used_tokens":0,"kv_total":570274,"sessions":0,"epoch":1,"next_token":0,"lost":false,"events":[]}`)
		case r.Header.Get("Expect-Instance") != name:
			w.WriteHeader(http.StatusMisdirectedRequest)
		default:
			l.arrived.Store(r.Header.Get("Attempt-Id"), name)
			handler(w, r)
		}
	}
	go http.Serve(listener, http.HandlerFunc(checked))
	d.putServer(name, entry{Service: service, Addr: listener.Addr().String(), Capacity: capacity, State: "ready"})
	return nil
}

func (l *localServers) stop() {
	for _, x := range l.listeners {
		x.Close()
	}
}

// answerPlain works for a while and answers.
func answerPlain(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(plainWork)
	w.Header().Set("Response-Seal", "seal")
	fmt.Fprint(w, strings.Repeat("a", 800))
}

// answerStream answers with events.
func answerStream(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Response-Seal", "seal")
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= streamEvents; n++ {
		time.Sleep(streamInterval)
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("b", 45))
		w.(http.Flusher).Flush()
	}
}

// runClients has clients send requests for a time and returns how many plain requests came on a
// kept channel, were passed on to a server, and got no answer because their channel was closed.
func runClients(r *record, d *deployment, servers *localServers, length time.Duration, streams int) (lost int) {
	began := time.Now()
	var clients sync.WaitGroup
	var count, answered atomic.Int64
	for n := range plainClients + streams {
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
			path, deadline := "/push/1", "1000"
			if n >= plainClients {
				path, deadline = "/crew/1", "15000"
			}
			for k := 0; time.Since(began) < length; k++ {
				id := fmt.Sprintf("c%02d-%d", n, k)
				a := sendPlain(client, d.front, path, id, deadline)
				server, passed := servers.arrived.Load(id)
				if a.err == nil {
					answered.Add(1)
					r.note("%s %d %v", id, a.status, server)
				} else {
					r.note("%s: %v, status %d, kept channel %v, passed on to %v", id, a.err, a.status, a.kept, server)
				}
				if a.status != http.StatusOK || a.err != nil {
					time.Sleep(200 * time.Millisecond)
				}
				if a.kept && a.closed() && passed && n < plainClients {
					count.Add(1)
				}
			}
		})
	}
	clients.Wait()
	r.logf("%d requests were answered", answered.Load())
	return int(count.Load())
}

// plainAnswer is what a client saw of a request.
type plainAnswer struct {
	status int // 0: no answer
	sealed bool
	err    error
	kept   bool // the channel had been used before
}

// closed reports whether the channel was closed without any part of an answer.
func (a plainAnswer) closed() bool {
	return a.status == 0 && a.err != nil && (errors.Is(a.err, io.EOF) || errors.Is(a.err, io.ErrUnexpectedEOF) || errors.Is(a.err, syscall.ECONNRESET))
}

func sendPlain(client *http.Client, front, path, id, deadline string) (a plainAnswer) {
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { a.kept = i.Reused }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(context.Background(), trace), http.MethodPost, "http://"+front+path, strings.NewReader(strings.Repeat("x", 600)))
	if err != nil {
		return plainAnswer{err: err}
	}
	request.Host = "h.example"
	request.GetBody = nil // never repeated by the transport
	for name, value := range map[string]string{
		"Attempt-Id": id, "Authorization": "Bearer k1", "Deadline-Ms": deadline, "Model": "m", "Token-Count": "1110,51", "Length-Hint": "51", "Prefix-Hash": fmt.Sprintf("%x:350,%x:760", id[:3], id),
	} {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		a.err = err
		return a
	}
	defer response.Body.Close()
	a.status, a.sealed = response.StatusCode, response.Header.Get("Response-Seal") != ""
	_, a.err = io.Copy(io.Discard, response.Body)
	return a
}

// watchMemory is the platform's limit on memory: a gateway that exceeds it is killed and started
// again. The channel gets how often that happened, once stop is closed.
func watchMemory(d *deployment, stop <-chan struct{}) <-chan int {
	result := make(chan int, 1)
	go func() {
		kills, most := 0, 0
		tick := time.NewTicker(20 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				d.record.logf("the most resident memory seen was %d MB", most)
				result <- kills
				return
			case <-tick.C:
			}
			process, exited := d.process()
			used := residentMB(process.Pid)
			most = max(most, used)
			if used <= memoryMB {
				continue
			}
			kills++
			d.record.logf("the gateway uses %d MB, more than its memory_mb of %d: it is killed", used, memoryMB)
			process.Kill()
			<-exited
			time.Sleep(restartDelay)
			if err := d.startGateway(); err != nil {
				d.record.logf("the gateway does not start again: %v", err)
			}
		}
	}()
	return result
}
