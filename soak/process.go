package soak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"opalbridge.dev/platform"
	"opalbridge.dev/platform/platformtest"
)

// process is one gateway, run as a separate operating system process that is restarted.
type process struct {
	name     string
	front    string
	address  string // of the readiness listener
	settings string // file
	binary   string
	log      *os.File
	proxy    *Proxy // between the gateway and the store
	grace    time.Duration

	mutex       sync.Mutex
	command     *exec.Cmd
	ended       chan struct{} // closed when the command has exited
	err         error         // how it has exited, once ended is closed
	incarnation int
	pauses      int // of the current incarnation
}

func newProcess(o Options, i, port int, store string) (*process, error) {
	p := &process{name: fmt.Sprintf("gateway-%d", i), binary: o.Binary, grace: o.grace(i)}
	var err error
	if p.proxy, err = NewProxy(store); err != nil {
		return nil, err
	}
	var ports [2]int
	for n := range ports {
		if ports[n], err = platformtest.FreePort(); err != nil {
			return nil, err
		}
	}
	p.front, p.address = fmt.Sprintf("%s:%d", loopbackAddress(i), ports[0]), fmt.Sprintf("%s:%d", loopbackAddress(i), ports[1])
	p.settings = filepath.Join(o.Dir, p.name+".yaml")
	text := fmt.Sprintf("name: %s\nhall: hall\nfront_address: %s\nready_address: %s\npeer_address: %s:%d\nstore_address: %s\n"+
		"seeds: %s,%s\nstop_timeout: %s\nrepeat_ratio: 1\nrepeat_extra: 200\n", p.name, p.front, p.address, loopbackAddress(i), port, p.proxy.Address(), loopbackAddress(0), loopbackAddress(1), p.grace)
	if o.Garbles {
		text += fmt.Sprintf("memory_mb: %d\n", garbledMemoryMB)
	}
	for _, option := range []struct {
		on      bool
		setting string
	}{{o.Moves, "stream_moves: on"}, {o.Backups, "stream_backups: on"}, {o.Plain, "plain_queue: slots"}, {o.Surplus, "surplus: idle"}} {
		if option.on {
			text += option.setting + "\n"
		}
	}
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	p.log, err = os.Create(filepath.Join(o.Dir, p.name+".log"))
	return p, err
}

// loopbackAddress returns the address of a gateway. The gateways of concurrent test processes have different ones, so
// that none takes a port of another whose gateway is down for a moment.
func loopbackAddress(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8%250, pid%256, 1+i)
}

// start starts the process unless it is running.
func (p *process) start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.running() {
		return nil
	}
	c := exec.Command(p.binary, "gateway", "--settings", p.settings)
	c.Stdout, c.Stderr = p.log, p.log
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		err := c.Wait()
		p.mutex.Lock()
		p.err = err
		p.mutex.Unlock()
		close(ended)
	}()
	p.command, p.ended = c, ended
	p.incarnation++
	p.pauses = 0
	return nil
}

func (p *process) running() bool {
	if p.command == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// currentIncarnation returns the number of the current incarnation.
func (p *process) currentIncarnation() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.incarnation
}

// epoch identifies the current incarnation since its latest pause. Signals of
// servers are checked within one epoch only.
func (p *process) epoch() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return fmt.Sprintf("%s/%d/%d", p.name, p.incarnation, p.pauses)
}

func (p *process) signal(s syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if s == syscall.SIGSTOP {
		p.pauses++
	}
	if p.running() {
		_ = p.command.Process.Signal(s) // it may have exited meanwhile
	}
}

// kill kills the process and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait()
}

// terminate asks the process to shut down and waits until it has exited.
func (p *process) terminate() {
	p.signal(syscall.SIGTERM)
	p.wait()
}

// result returns how the process has exited; false: it runs.
func (p *process) result() (ended bool, err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return !p.running(), p.err
}

// waitUntil waits until the process has exited, up to a time, and reports whether it has.
func (p *process) waitUntil(end time.Time) bool {
	p.mutex.Lock()
	ended := p.ended
	p.mutex.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(time.Until(end)):
		return false
	}
}

func (p *process) wait() {
	p.mutex.Lock()
	ended := p.ended
	p.mutex.Unlock()
	if ended != nil {
		<-ended
	}
}

func (p *process) ready() bool { return p.notReady() == "" }

// notReady returns why the process is not ready; empty: it is.
func (p *process) notReady() string {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + p.address + platform.ReadyPath)
	if err != nil {
		return err.Error()
	}
	r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return r.Status
	}
	return ""
}
