package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Load and disruption of the case.
const (
	garbageFor    = 45 * time.Second
	garbageEvery  = 50 // one in so many answers of one server is spoiled: x = 0.02
	garbageShare  = 3  // one server of so many of the service spoils answers: a share of 0.33
	garbageWindow = 5500 * time.Millisecond
	garbagePeriod = 15 * time.Second
	// 1,000 Mbit/s, the link of a machine, in ticks of 10 ms.
	linkBytesPerTick = 1_250_000
	linkTick         = 10 * time.Millisecond
)

const garbageConfiguration = `{"version":7,"routes":[
{"name":"r-1","host":"h.example","prefix":"/crew/","kind":"streaming","timeout_ms":15000,"goal_ms":600,"priority":1,"service":"llm","max_attempts":1,"public":false,"sticky":true,"resumable":false,"gap_aim_ms":400},
{"name":"r-2","host":"h.example","prefix":"/push/","kind":"non_idempotent","timeout_ms":1000,"goal_ms":150,"priority":2,"service":"api","max_attempts":1,"public":true}],
"services":[{"name":"llm","health_path":"/health","max_conns":370,"protocol":"h1","tls":false,"runtime":{"capacity":64,"kv_tokens":570274,"token_kv_bytes":163840,"link_mbps":550000.0,"moves":true,"backups":true,"stride":3,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"session_ttl_s":5.0,"models":[{"name":"m"}]}},
{"name":"api","health_path":"/health","max_conns":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":290000},
"tenants":[{"name":"t1","api_keys":["k1"],"priority":1}]}`

// garbler is a server that spoils some of its answers for a time.
type garbler struct {
	record *record
	active atomic.Bool
	count  atomic.Int64
}

// answer spoils one of garbageEvery answers: instead of an answer it sends bytes that are none, as
// fast as its link allows, until its channel is closed.
func (g *garbler) answer(w http.ResponseWriter, r *http.Request) {
	if !g.active.Load() || g.count.Add(1)%garbageEvery != 1 {
		answerStream(w, r)
		return
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	id := r.Header.Get("Attempt-Id")
	g.record.logf("the garbling server answers request %s with bytes that are no answer", id)
	chunk := []byte(strings.Repeat("\x00", linkBytesPerTick))
	sent := 0
	tick := time.NewTicker(linkTick)
	defer tick.Stop()
	for range tick.C {
		n, err := c.Write(chunk)
		if sent += n; err != nil {
			g.record.logf("its channel for request %s is closed after %d MB", id, sent>>20)
			return
		}
	}
}

func runGarbage(r *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(r, garbageConfiguration)
	if err != nil {
		return false, err
	}
	defer d.stop()
	servers := &localServers{record: r}
	defer servers.stop()
	g := &garbler{record: r}
	for n := range garbageShare {
		answer := http.HandlerFunc(answerStream)
		if n == 0 {
			answer = g.answer
		}
		err = errors.Join(err, servers.start(d, fmt.Sprintf("i-llm-%d", n+1), "llm", 64, answer), servers.start(d, fmt.Sprintf("i-api-%d", n+1), "api", 6, answerPlain))
	}
	if err := errors.Join(err, d.startGateway()); err != nil {
		return false, err
	}
	if err := d.waitReady(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	watch := watchMemory(d, stop)
	if trouble {
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(garbagePeriod - garbageWindow):
				}
				r.logf("server i-llm-1 spoils one of %d answers for %v", garbageEvery, garbageWindow)
				g.count.Store(0)
				g.active.Store(true)
				time.Sleep(garbageWindow)
				g.active.Store(false)
			}
		}()
	}
	lost := runClients(r, d, servers, garbageFor, streamClients)
	close(stop)
	kills := <-watch
	r.logf("the gateway exceeded its memory %d times; %d requests on kept channels had been passed on to sound servers, and their channels were closed without an answer", kills, lost)
	return lost > 3, nil
}
