package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Load of the case: streams of the longest kind on the sheet.
const (
	truncatedServers  = 7 // one of them leaves: a share of 0.143
	truncatedClients  = 21
	truncatedEvents   = 200 // most pieces of crew-ask
	truncatedInterval = 30 * time.Millisecond
	truncatedFor      = 16 * time.Second
	truncatedLeavesAt = 7 * time.Second
	// How much longer than drain_ms the server serves ("a little longer").
	truncatedLonger = 300 * time.Millisecond
)

const truncatedConfiguration = `{"version":7,"routes":[
{"name":"r-1","host":"h.example","prefix":"/crew/","kind":"streaming","timeout_ms":15000,"goal_ms":600,"priority":1,"service":"llm","max_attempts":1,"public":false,"sticky":true,"resumable":false,"gap_aim_ms":400}],
"services":[{"name":"llm","health_path":"/health","max_conns":370,"protocol":"h1","tls":false,"runtime":{"capacity":64,"kv_tokens":570274,"token_kv_bytes":163840,"link_mbps":550000.0,"moves":true,"backups":true,"stride":3,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"session_ttl_s":5.0,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":290000},
"tenants":[{"name":"t1","api_keys":["k1"],"priority":1}]}`

// streamResult is what a client saw of its request.
type streamResult struct {
	id       string
	status   int
	sealed   bool
	complete bool // the answer ended as its framing says
	events   int
	last     bool // the last event arrived
}

// serverProcess is a server that runs as a process of its own.
type serverProcess struct {
	name    string
	address string
	command *exec.Cmd
	stdin   io.Closer
}

// runTruncated has one server announce that it leaves and end, as planned, a little more than
// drain_ms later, while it still has streams whose answers end with their channel.
func runTruncated(r *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(r, truncatedConfiguration)
	if err != nil {
		return false, err
	}
	defer d.stop()
	var runs runLog
	servers := make([]*serverProcess, truncatedServers)
	for i := range servers {
		s, err := startServer(fmt.Sprintf("i-%d", i+1), &runs)
		if err != nil {
			return false, err
		}
		defer s.end()
		servers[i] = s
		d.putServer(s.name, entry{Service: "llm", Addr: s.address, Capacity: 64, State: "ready"})
	}
	if err := d.startGateway(); err != nil {
		return false, err
	}
	if err := d.waitReady(); err != nil {
		return false, err
	}
	began := time.Now()
	if trouble {
		go func() {
			time.Sleep(truncatedLeavesAt)
			s := servers[runs.busiest(servers)]
			if os.Getenv("ANNOUNCE") == "0" { // for comparison: a crash
				r.logf("server %s ends without having announced it", s.name)
				s.end()
				return
			}
			d.putServer(s.name, entry{Service: "llm", Addr: s.address, Capacity: 64, State: "draining"})
			time.Sleep(drainTime + truncatedLonger)
			r.logf("server %s ends, as planned, %v after the store has taken that it is draining", s.name, drainTime+truncatedLonger)
			s.end()
		}()
	}
	var mutex sync.Mutex
	var results []streamResult
	var clients sync.WaitGroup
	for n := range truncatedClients {
		clients.Go(func() {
			time.Sleep(time.Duration(n) * 100 * time.Millisecond)
			client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
			for k := 0; time.Since(began) < truncatedFor; k++ {
				g := sendStream(client, d.front, fmt.Sprintf("c%02d-%d", n, k))
				mutex.Lock()
				results = append(results, g)
				mutex.Unlock()
				if g.status != http.StatusOK {
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	clients.Wait()
	if len(results) == 0 {
		return false, fmt.Errorf("no request was answered")
	}
	return judgeStreams(r, results, &runs), nil
}

// judgeStreams reports whether a success looks complete although it is not.
func judgeStreams(r *record, results []streamResult, runs *runLog) bool {
	broken, whole, cut, other := 0, 0, 0, 0
	for _, g := range results {
		server, made := runs.of(g.id)
		r.note("request %s: status %d, seal %v, ended as complete %v, events %d, last event %v; server %s, its run ended: %v", g.id, g.status, g.sealed, g.complete, g.events, g.last, server, made)
		switch {
		case g.status != http.StatusOK:
			other++
		case !g.complete:
			cut++
		case g.last:
			whole++
		default:
			broken++
			r.logf("BROKEN: request %s got status 200 with a seal and a proper end after %d of %d events; server %s had not finished it", g.id, g.events, truncatedEvents, server)
		}
	}
	r.logf("streams: %d whole, %d cut so that the client sees it, %d not served, %d truncated that look complete", whole, cut, other, broken)
	return broken > 0
}

// sendStream sends a request and reads its whole answer.
func sendStream(client *http.Client, front, id string) streamResult {
	g := streamResult{id: id}
	request, err := http.NewRequest(http.MethodPost, "http://"+front+"/crew/ask", strings.NewReader(strings.Repeat("x", 1500)))
	if err != nil {
		return g
	}
	request.Host = "h.example"
	request.GetBody = nil // never repeated by the transport
	for name, value := range map[string]string{
		"Attempt-Id": id, "Authorization": "Bearer k1", "Deadline-Ms": "15000", "Model": "m", "Token-Count": "1110,600", "Length-Hint": "600", "Prefix-Hash": fmt.Sprintf("%x:350,%x:760", id[:3], id),
	} {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return g
	}
	defer response.Body.Close()
	g.status, g.sealed = response.StatusCode, response.Header.Get("Response-Seal") != ""
	lines := bufio.NewReader(response.Body)
	for {
		line, err := lines.ReadString('\n')
		if strings.HasPrefix(line, "data: ") {
			g.events++
			g.last = strings.HasPrefix(line, "data: last ")
		}
		if err != nil {
			g.complete = err == io.EOF
			return g
		}
	}
}

// startServer starts a server as a process of its own.
func startServer(name string, runs *runLog) (*serverProcess, error) {
	s := &serverProcess{name: name, address: freeAddress()}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	s.command = exec.Command(self, "backend", "--listen", s.address, "--name", name, "--events", fmt.Sprint(truncatedEvents), "--interval", truncatedInterval.String())
	s.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	s.command.Stderr = os.Stderr
	if s.stdin, err = s.command.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := s.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := s.command.Start(); err != nil {
		return nil, err
	}
	go runs.read(out)
	return s, nil
}

// end has the server's process end.
func (s *serverProcess) end() {
	s.stdin.Close()
	s.command.Wait()
}

// runLog holds what servers have run. It is safe for concurrent use.
type runLog struct {
	mutex sync.Mutex
	begun map[string]string // server by request
	ended map[string]bool
}

func (l *runLog) read(in io.Reader) {
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		var e runEvent
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			continue
		}
		l.mutex.Lock()
		if l.begun == nil {
			l.begun, l.ended = map[string]string{}, map[string]bool{}
		}
		l.begun[e.ID] = e.Server
		l.ended[e.ID] = l.ended[e.ID] || e.What == "ended"
		l.mutex.Unlock()
	}
}

// of returns the server that has run a request, and whether its run has ended well.
func (l *runLog) of(id string) (server string, ended bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.begun[id], l.ended[id]
}

// busiest returns the index of the server with the most runs in progress.
func (l *runLog) busiest(servers []*serverProcess) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	running := map[string]int{}
	for id, server := range l.begun {
		if !l.ended[id] {
			running[server]++
		}
	}
	most := 0
	for i, s := range servers {
		if running[s.name] > running[servers[most].name] {
			most = i
		}
	}
	return most
}
