package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Load and disruption of the case.
const (
	foreignClients = 12
	foreignFor     = 20 * time.Second
	foreignFrom    = 5 * time.Second
	foreignPause   = 100 * time.Millisecond // of a client between two requests
)

// foreignEntry is an entry that another writer has put beside those of the servers: it lacks version,
// cold_left_ms, call_seq and born, which every server writes.
const foreignEntry = `{"service":"api","addr":%q,"zone":"zone-1","capacity":6,"state":"ready"}`

// runForeign has another writer put an entry with fields missing under servers/. What listens at its
// address is no server of the platform but an HTTP program that knows none of its paths.
func runForeign(r *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(r, garbageConfiguration)
	if err != nil {
		return false, err
	}
	defer d.stop()
	servers := &localServers{record: r}
	defer servers.stop()
	for n := range 3 {
		err = errors.Join(err, servers.start(d, fmt.Sprintf("i-api-%d", n+1), "api", 6, answerPlain), servers.start(d, fmt.Sprintf("i-llm-%d", n+1), "llm", 64, answerStream))
	}
	program, listenErr := net.Listen("tcp4", "127.0.0.1:0")
	if err := errors.Join(err, listenErr, d.startGateway()); err != nil {
		return false, err
	}
	defer program.Close()
	var received atomic.Int64
	go http.Serve(program, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		received.Add(1)
		r.note("the other writer's program gets request %s", q.Header.Get("Attempt-Id"))
		http.NotFound(w, q)
	}))
	if err := d.waitReady(); err != nil {
		return false, err
	}
	began := time.Now()
	if trouble {
		time.AfterFunc(foreignFrom, func() {
			d.store.Put("servers/inventory-7", fmt.Appendf(nil, foreignEntry, program.Addr().String()))
			r.logf("another writer has put servers/inventory-7, without version, cold_left_ms, call_seq and born")
		})
	}
	var mutex sync.Mutex
	statuses := map[string]int{}
	denied, sent := 0, 0
	var clients sync.WaitGroup
	for n := range foreignClients {
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
			for k := 0; time.Since(began) < foreignFor; k++ {
				id := fmt.Sprintf("c%02d-%d", n, k)
				a := sendPlain(client, d.front, "/push/1", id, "1000")
				server, _ := servers.arrived.Load(id)
				r.note("request %s: status %d, seal %v, error %v, run by server %v", id, a.status, a.sealed, a.err, server)
				mutex.Lock()
				sent++
				statuses[fmt.Sprintf("status %d, seal %v", a.status, a.sealed)]++
				if own := !a.sealed && a.status >= 300 && a.status < 500; own && a.status != 408 && a.status != 421 && a.status != 429 {
					denied++
				}
				mutex.Unlock()
				time.Sleep(foreignPause)
			}
		})
	}
	clients.Wait()
	r.logf("%d proper requests sent; answers: %v; the other writer's program got %d of them", sent, statuses, received.Load())
	r.logf("%d requests ended with a 3xx or 4xx that no server gave; the rule allows %d", denied, 5+sent/500)
	if statuses["status 200, seal true"] == 0 {
		return false, errors.New("no request was served")
	}
	return denied > 5+sent/500, nil
}
