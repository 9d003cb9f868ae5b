package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Load and disruption of the case.
const (
	uploadBytes   = 4_000_000 // below max_body_bytes, 4,194,304
	uploadClients = 140       // each with a kept channel and one request at a time
	uploadPeriod  = 10 * time.Second
	bodiesFor     = 40 * time.Second
	slowFrom      = 10 * time.Second
	// A slow reader takes 6.7 s for a body; the time budget is 12 s.
	slowChunk = 60_000
	slowPause = 100 * time.Millisecond
)

const bodiesConfiguration = `{"version":7,"routes":[
{"name":"r-1","host":"h.example","prefix":"/up/","kind":"idempotent","timeout_ms":12000,"goal_ms":150,"priority":1,"service":"up","max_attempts":1,"public":true},
{"name":"r-2","host":"h.example","prefix":"/push/","kind":"non_idempotent","timeout_ms":1000,"goal_ms":150,"priority":2,"service":"api","max_attempts":1,"public":true}],
"services":[{"name":"up","health_path":"/health","max_conns":370,"protocol":"h1","tls":false},
{"name":"api","health_path":"/health","max_conns":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":290000},
"tenants":[{"name":"t1","api_keys":["k1"],"priority":1}]}`

// slowReader is a server that reads bodies slowly while it is active.
type slowReader struct{ active atomic.Bool }

func (s *slowReader) answer(w http.ResponseWriter, r *http.Request) {
	for {
		n, err := io.CopyN(io.Discard, r.Body, slowChunk)
		if err != nil || n == 0 {
			break
		}
		if s.active.Load() {
			time.Sleep(slowPause)
		}
	}
	w.Header().Set("Response-Seal", "seal")
	fmt.Fprint(w, strings.Repeat("a", 800))
}

// runBodies has servers read long requests slowly.
func runBodies(r *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(r, bodiesConfiguration)
	if err != nil {
		return false, err
	}
	defer d.stop()
	servers := &localServers{record: r}
	defer servers.stop()
	slow := &slowReader{}
	for n := range 3 {
		err = errors.Join(err, servers.start(d, fmt.Sprintf("i-up-%d", n+1), "up", 64, slow.answer), servers.start(d, fmt.Sprintf("i-api-%d", n+1), "api", 6, answerPlain))
	}
	if err := errors.Join(err, d.startGateway()); err != nil {
		return false, err
	}
	if err := d.waitReady(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	watch := watchMemory(d, stop)
	began := time.Now()
	if trouble {
		time.AfterFunc(slowFrom, func() {
			r.logf("the servers of the uploads read slowly from now on: %d kB/s each request", slowChunk*10/1000)
			slow.active.Store(true)
		})
	}
	var uploads sync.WaitGroup
	var uploaded atomic.Int64
	for n := range uploadClients {
		uploads.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
			time.Sleep(time.Duration(n) * uploadPeriod / uploadClients)
			for k := 0; time.Since(began) < bodiesFor; k++ {
				next := time.After(uploadPeriod)
				id := fmt.Sprintf("u%03d-%d", n, k)
				status, err := sendUpload(client, d.front, id)
				r.note("upload %s: status %d, %v", id, status, err)
				if status == http.StatusOK {
					uploaded.Add(1)
				}
				<-next
			}
		})
	}
	lost := runClients(r, d, servers, bodiesFor, 0)
	uploads.Wait()
	close(stop)
	kills := <-watch
	r.logf("%d uploads were served", uploaded.Load())
	r.logf("the gateway exceeded its memory %d times; %d requests on kept channels had been passed on to sound servers, and their channels were closed without an answer", kills, lost)
	return lost > 3, nil
}

func sendUpload(client *http.Client, front, id string) (status int, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+front+"/up/1", io.LimitReader(zeros{}, uploadBytes))
	if err != nil {
		return 0, err
	}
	request.Host, request.ContentLength = "h.example", uploadBytes
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Deadline-Ms", "12000")
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}
