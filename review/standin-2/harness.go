// Command review-2 plays the scripted cases of the second review: it starts gateways as separate
// processes, with the command and the settings of the deploy file, between stand-ins of the platform's
// store, of backend servers and of clients that run in this process. Usage, from the repository's root:
//
//	review-2 CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held and 2 if the case
// could not run. TROUBLE=0 in the environment leaves out the disruption.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"opalbridge.dev/platform/platformtest"
)

// Exit statuses.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// play is one run of a case.
type play struct {
	trouble bool
	began   time.Time
	dir     string // temporary, for settings and logs

	mutex    sync.Mutex
	lines    []line
	gateways []*gateway
	closers  []func()
}

// line is a line of the record.
type line struct {
	at   time.Duration
	text string
}

// logf adds a line to the record.
func (p *play) logf(format string, args ...any) { p.logAt(time.Now(), format, args...) }

// logAt adds a line to the record, for something that happened at a time.
func (p *play) logAt(at time.Time, format string, args ...any) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.lines = append(p.lines, line{at.Sub(p.began), fmt.Sprintf(format, args...)})
}

// write writes the record in order of time.
func (p *play) write(file string) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	sort.SliceStable(p.lines, func(i, j int) bool { return p.lines[i].at < p.lines[j].at })
	var b bytes.Buffer
	for _, l := range p.lines {
		fmt.Fprintf(&b, "%9.3f s  %s\n", l.at.Seconds(), l.text)
	}
	return os.WriteFile(file, b.Bytes(), 0o644)
}

// closeLater has a function called at the end of the play.
func (p *play) closeLater(f func()) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closers = append(p.closers, f)
}

// end ends all processes that the play has started, and its listeners.
func (p *play) end() {
	for _, g := range p.gateways {
		g.kill()
	}
	for i := len(p.closers) - 1; i >= 0; i-- {
		p.closers[i]()
	}
}

// loopback returns the n-th loopback address of this play. Plays in other processes have other addresses.
func loopback(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8%250, pid%256, 1+n)
}

// freePort returns a port that is free at all given addresses.
func freePort(addresses ...string) (int, error) {
	for range 20 {
		port, err := platformtest.FreePort()
		if err != nil {
			return 0, err
		}
		free := true
		for _, a := range addresses {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", a, port))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return port, nil
		}
	}
	return 0, errors.New("no port is free at all addresses")
}

// gateway is a gateway process.
type gateway struct {
	play     *play
	name     string
	front    string
	ready    string
	settings string
	log      *os.File

	mutex   sync.Mutex
	command *exec.Cmd
	done    chan struct{}
}

// gatewaySpec says what is special to a gateway.
type gatewaySpec struct {
	hall  string
	extra string // further lines of the settings
}

// startGateways starts gateways with the settings that the template of the deploy file gives.
func (p *play) startGateways(store string, list []gatewaySpec) error {
	var addresses []string
	for i := range list {
		addresses = append(addresses, loopback(i))
	}
	peerPort, err := freePort(addresses...)
	if err != nil {
		return err
	}
	regions := map[string]bool{}
	for _, s := range list {
		regions[s.hall+"=area"] = true
	}
	var regionList []string
	for r := range regions {
		regionList = append(regionList, r)
	}
	sort.Strings(regionList)
	for i, s := range list {
		ip := loopback(i)
		var ports [3]int
		for n := range ports {
			if ports[n], err = freePort(ip); err != nil {
				return err
			}
		}
		g := &gateway{play: p, name: fmt.Sprintf("edge-%s-%d", s.hall, i+1), front: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1])}
		g.settings = filepath.Join(p.dir, g.name+".yaml")
		text := fmt.Sprintf("name: %q\nhall: %q\nregion: \"area\"\nfront_address: %q\nready_address: %q\npeer_address: \"%s:%d\"\nadmin_address: \"%s:%d\"\n"+
			"store_address: %q\nseeds: %q\nmemory_mb: 284\nprocessor: 0.304\ndescriptors: 4100\nstop_timeout: \"8s\"\nrepeat_ratio: 0.2\nrepeat_extra: 58\n"+
			"repeat_window: \"10s\"\nshare_window: \"4s\"\nregions: %q\npauses: avoid\nsurplus: auto\nplain_queue: auto\nstream_moves: auto\nwithdraw: auto\noffload: auto\n%s",
			g.name, s.hall, g.front, g.ready, ip, peerPort, ip, ports[2], store, strings.Join(addresses[:min(len(addresses), 3)], ","), strings.Join(regionList, ","), s.extra)
		if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if g.log, err = os.Create(filepath.Join(p.dir, g.name+".log")); err != nil {
			return err
		}
		p.gateways = append(p.gateways, g)
		if err := g.start(); err != nil {
			return err
		}
	}
	for _, g := range p.gateways {
		if err := g.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// start starts the process.
func (g *gateway) start() error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	c := exec.Command("target/opalbridge", "gateway")
	c.Env = append(os.Environ(), "OPALBRIDGE_NODE_FILE="+g.settings)
	c.Stdout, c.Stderr = g.log, g.log
	if err := c.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = c.Wait() // its end is what counts
		close(done)
	}()
	g.command, g.done = c, done
	g.play.logf("gateway %s is started", g.name)
	return nil
}

// signal sends a signal to the process.
func (g *gateway) signal(s os.Signal) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	_ = g.command.Process.Signal(s) // it may have ended
	g.play.logf("gateway %s gets signal %v", g.name, s)
}

// kill kills the process and waits for its end.
func (g *gateway) kill() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.command == nil {
		return
	}
	_ = g.command.Process.Signal(syscall.SIGKILL) // it may have ended
	<-g.done
}

// isReady reports whether the gateway says that it takes connections.
func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get("http://" + g.ready + "/opalbridge/ready")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until the gateway is ready.
func (g *gateway) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if g.isReady() {
			g.play.logf("gateway %s is ready", g.name)
			return nil
		}
	}
	return fmt.Errorf("gateway %s is not ready", g.name)
}

// store is the platform's store: the project's stand-in, whose waiting watches can be cut.
type store struct {
	platformtest.Store
	address string
	server  *http.Server // at that address
	play    *play

	cutTime atomic.Int64 // how long a watch waits before it is cut, in ns; 0: it is not
}

// newStore starts a store.
func newStore(p *play) (*store, error) {
	s := &store{play: p}
	s.SetFaults(platformtest.Faults{OmitEra: true}) // the pages know no such header
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }() // ends with the play
	p.closeLater(func() { s.server.Close() })
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasSuffix(r.URL.Path, "/kv-watch") {
		s.Store.ServeHTTP(w, r)
		return
	}
	ended := make(chan struct{})
	var cut <-chan time.Time
	if d := time.Duration(s.cutTime.Load()); d > 0 {
		cut = time.After(d)
	}
	buffered := &bufferedAnswer{header: http.Header{}, status: http.StatusOK}
	go func() {
		defer close(ended)
		s.Store.ServeHTTP(buffered, r)
	}()
	select {
	case <-ended:
		for name, values := range buffered.header {
			w.Header()[name] = values
		}
		w.WriteHeader(buffered.status)
		_, _ = w.Write(buffered.body.Bytes()) // the caller may be gone
	case <-cut:
		s.play.logf("store: a watch is cut that has waited for %v", time.Duration(s.cutTime.Load()))
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
}

// bufferedAnswer holds an answer.
type bufferedAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (a *bufferedAnswer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *bufferedAnswer) WriteHeader(status int) { a.status = status }

// Write implements http.ResponseWriter.
func (a *bufferedAnswer) Write(b []byte) (int, error) { return a.body.Write(b) }

// cutAfter has each watch cut that has waited for some time and found no change.
func (s *store) cutAfter(d time.Duration) {
	s.cutTime.Store(int64(d))
	s.play.logf("store: from now on, a watch that has waited for %v is cut", d)
}

// putJSON writes an item.
func (s *store) putJSON(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err) // maps of strings and numbers can be encoded
	}
	s.Put(key, b)
}

// arrival is a request that has reached a server.
type arrival struct {
	at time.Time
	id string
}

// backend is a server of a service.
type backend struct {
	play     *play
	store    *store
	id       string
	service  string
	zone     string
	work     time.Duration // before the answer, or its first event
	events   int           // of a stream; 0: the answer is plain
	gap      time.Duration // between events
	capacity int
	// onArrival, if not nil, is called for each request that is meant for this server; it may end the server.
	onArrival func(at time.Time)

	address  string
	server   *http.Server
	mutex    sync.Mutex
	arrivals []arrival
	runs     map[string]int
	coldTill time.Time
	stopBeat chan struct{}
}

// start starts the server, which writes its entry.
func (b *backend) start() error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	b.address, b.runs, b.stopBeat = l.Addr().String(), map[string]int{}, make(chan struct{})
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(l) }() // until the server ends
	b.play.closeLater(b.endNow)
	b.beat()
	return nil
}

// beat writes the server's entry.
func (b *backend) beat() {
	b.mutex.Lock()
	cold := max(time.Until(b.coldTill), 0)
	b.mutex.Unlock()
	b.store.putJSON("servers/"+b.id, map[string]any{
		"service": b.service, "addr": b.address, "zone": b.zone, "version": "v1", "capacity": b.capacity, "state": "ready",
		"cold_left_ms": cold.Milliseconds(), "call_seq": 0,
	})
}

// endNow ends the server as a process that ends: its listener and its connections are closed.
func (b *backend) endNow() { b.server.Close() }

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Instance-Id", b.id)
	if id != "" {
		w.Header().Set("Attempt-Id", id)
	}
	switch {
	case r.URL.Path == "/opalbridge/report":
		_, _ = io.WriteString(w, `{"phase":"both","models":[{"name":"m","version":1,"adapters":[]}],"in_flight":false,"call_seq":0,"queued":0,"running":0,"kv_used_tokens":0,"kv_total":500000,"sessions":0}`)
		return
	case strings.HasPrefix(r.URL.Path, "/opalbridge/kv-events"):
		_, _ = io.WriteString(w, `{"epoch":1,"next_token":0,"lost":false,"events":[]}`)
		return
	case r.URL.Path == "/health":
		return
	case r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != b.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mutex.Lock()
	b.arrivals = append(b.arrivals, arrival{at, id})
	b.runs[id]++
	b.mutex.Unlock()
	b.play.logAt(at, "server %s (%s) gets request %s", b.id, b.zone, id)
	if b.onArrival != nil {
		b.onArrival(at)
	}
	if !sleep(r, b.work) {
		return
	}
	w.Header().Set("Response-Seal", "seal-"+b.id+"-"+id)
	if b.events == 0 {
		_, _ = fmt.Fprintf(w, "answer of %s to %s (%d bytes)", b.id, id, len(body))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= b.events; n++ {
		if n > 1 && !sleep(r, b.gap) {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id)
		w.(http.Flusher).Flush()
	}
}

// sleep waits, and reports whether the caller is still there.
func sleep(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// after returns the arrivals after a time.
func (b *backend) after(t time.Time) []arrival {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var list []arrival
	for _, a := range b.arrivals {
		if a.at.After(t) {
			list = append(list, a)
		}
	}
	return list
}

// answer is what a client got.
type answer struct {
	id     string
	sent   time.Time
	ended  time.Time
	status int    // 0: no answer
	note   string // why the answer is not whole; empty: it is
	seal   string
	body   string
}

// clients send requests at a steady rate, each a single try on a connection of its own.
type clients struct {
	play    *play
	target  func() string // front address
	path    string
	host    string
	key     string
	method  string
	every   time.Duration
	budget  time.Duration
	headers map[string]string
	body    string

	stop    chan struct{}
	wait    sync.WaitGroup
	mutex   sync.Mutex
	answers []answer
}

var requestNumber atomic.Int64

// start starts the clients.
func (c *clients) start() {
	c.stop = make(chan struct{})
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		tick := time.NewTicker(c.every)
		defer tick.Stop()
		for {
			select {
			case <-c.stop:
				return
			case <-tick.C:
				c.wait.Add(1)
				go func() {
					defer c.wait.Done()
					c.send()
				}()
			}
		}
	}()
}

// end stops sending and waits for the answers.
func (c *clients) end() {
	close(c.stop)
	c.wait.Wait()
}

// send sends one request.
func (c *clients) send() {
	id := fmt.Sprintf("%016x", 0xa000000000000000+uint64(requestNumber.Add(1)))
	r, err := http.NewRequest(c.method, "http://"+c.target()+c.path, strings.NewReader(c.body))
	if err != nil {
		panic(err) // the parts are constants
	}
	r.Host = c.host
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(c.budget.Milliseconds()))
	if c.key != "" {
		r.Header.Set("Authorization", "Bearer "+c.key)
	}
	for name, value := range c.headers {
		r.Header.Set(name, value)
	}
	a := answer{id: id, sent: time.Now()}
	client := http.Client{Timeout: c.budget + time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(r)
	if err != nil {
		a.note = "no answer: " + err.Error()
	} else {
		a.status, a.seal = response.StatusCode, response.Header.Get("Response-Seal")
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		a.body = string(body)
		if err != nil {
			a.note = "answer broken off: " + err.Error()
		}
	}
	a.ended = time.Now()
	c.mutex.Lock()
	c.answers = append(c.answers, a)
	c.mutex.Unlock()
	c.play.logAt(a.sent, "client sends request %s to %s", id, c.target())
	c.play.logAt(a.ended, "client: request %s: status %d, seal %q, %s", id, a.status, a.seal, whole(a.note))
}

func whole(note string) string {
	if note == "" {
		return "answer whole"
	}
	return note
}

// count returns how many answers there were of each kind.
func (c *clients) count() map[string]int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	counts := map[string]int{}
	for _, a := range c.answers {
		kind := fmt.Sprint(a.status)
		if a.note != "" {
			kind += " not whole"
		}
		counts[kind]++
	}
	return counts
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(statusNotRun)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(statusNotRun)
	}
	os.Exit(playCase(run, os.Args[2]))
}

// playLimit ends a play that hangs.
const playLimit = 110 * time.Second

// errStopped reports a play that was ended from outside or has hung.
var errStopped = errors.New("it was stopped, or took too long")

// runLimited runs a case until it ends, a signal asks for its end or the limit has passed.
func (p *play) runLimited(run func(p *play) (broken bool, err error)) (broken bool, err error) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := run(p)
		done <- result{broken, err}
	}()
	select {
	case r := <-done:
		return r.broken, r.err
	case <-signals:
	case <-time.After(playLimit):
	}
	return false, errStopped
}

// playCase plays a case and returns its exit status.
func playCase(run func(p *play) (broken bool, err error), folder string) int {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer os.RemoveAll(dir)
	p := &play{trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), dir: dir}
	broken, err := p.runLimited(run)
	p.end()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, g := range p.gateways {
			if b, err := os.ReadFile(g.log.Name()); err == nil {
				_ = os.WriteFile(filepath.Join(keep, g.name+".log"), b, 0o644)
			}
		}
	}
	status := statusHeld
	switch {
	case err != nil:
		p.logf("the case could not run: %v", err)
		fmt.Println("not run:", err)
		status = statusNotRun
	case broken:
		p.logf("verdict: the rule is broken")
		status = statusBroken
	default:
		p.logf("verdict: the rule has held")
	}
	if err := p.write(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	return status
}
