package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"opalbridge.dev/platform/platformtest"
)

// The machine of a gateway, as in the sheets of the small deployments.
const (
	memoryMB    = 284
	descriptors = 4100
	drainTime   = 2 * time.Second // drain_ms
)

// deployment is a small deployment on loopback addresses: the platform's store and one gateway.
type deployment struct {
	record  *record
	folder  string // temporary
	store   *platformtest.Store
	server  *http.Server
	front   string
	ready   string
	mutex   sync.Mutex
	gateway *exec.Cmd
	exited  chan struct{} // closed when the gateway has ended
}

// newDeployment starts the store and writes the settings of the gateway.
func newDeployment(r *record, configuration string) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, folder: folder, store: &platformtest.Store{}}
	d.store.SetFaults(platformtest.Faults{OmitEra: true}) // the pages name no header for that
	d.store.Put("op/config", []byte(configuration))
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.server = &http.Server{Handler: d.store}
	go d.server.Serve(l)
	d.front, d.ready = freeAddress(), freeAddress()
	return d, os.WriteFile(d.settings(), []byte(d.settingsText(l.Addr().String())), 0o600)
}

func (d *deployment) settings() string { return filepath.Join(d.folder, "gateway.yaml") }

// settingsText is deploy/gateway.yaml as the platform fills it for a machine of the sheet.
func (d *deployment) settingsText(store string) string {
	return fmt.Sprintf(`name: "edge-1"
hall: "zone-1"
region: "area-1"
front_address: %q
ready_address: %q
peer_address: %q
admin_address: %q
store_address: %q
seeds: "127.0.0.1:1"
memory_mb: %d
processor: 0.304
descriptors: %d
stop_timeout: "8s"
repeat_ratio: 0.2
repeat_extra: 58
repeat_window: "10s"
share_window: "4s"
regions: "zone-1=area-1"
pauses: avoid
surplus: auto
plain_queue: auto
stream_moves: auto
withdraw: auto
offload: auto
`, d.front, d.ready, freeAddress(), freeAddress(), store, memoryMB, descriptors)
}

// Ports of processes are drawn from below the range from which the kernel takes those of outgoing
// connections.
const (
	firstPort = 20000
	portCount = 10000
)

// freeAddress returns a loopback address whose port is free.
func freeAddress() string {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		if l, err := net.Listen("tcp4", address); err == nil {
			l.Close()
			return address
		}
	}
	return "127.0.0.1:0"
}

// entry is what a server writes of itself into the store.
type entry struct {
	Service  string  `json:"service"`
	Addr     string  `json:"addr"`
	Zone     string  `json:"zone"`
	Version  string  `json:"version"`
	Capacity int     `json:"capacity"`
	State    string  `json:"state"`
	ColdLeft float64 `json:"cold_left_ms"`
	CallSeq  int     `json:"call_seq"`
	Born     int64   `json:"born"`
}

func (d *deployment) putServer(id string, e entry) {
	e.Zone, e.Version = "zone-1", "v1"
	value, _ := json.Marshal(e) // a plain struct is always encoded
	d.store.Put("servers/"+id, value)
	d.record.logf("the store has taken servers/%s: service %s, state %s", id, e.Service, e.State)
}

// startGateway starts the gateway with the command of the deploy file.
func (d *deployment) startGateway() error {
	out, err := os.OpenFile(filepath.Join(d.folder, "gateway.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	c := exec.Command("target/opalbridge", "gateway")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.folder, "OPALBRIDGE_NODE_FILE=" + d.settings()}
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		c.Wait()
		close(exited)
	}()
	d.mutex.Lock()
	d.gateway, d.exited = c, exited
	d.mutex.Unlock()
	d.record.logf("gateway started, process %d", c.Process.Pid)
	return nil
}

// waitReady waits until the gateway says that it is ready.
func (d *deployment) waitReady() error {
	for range 200 {
		if response, err := http.Get("http://" + d.ready + "/opalbridge/ready"); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("the gateway is not ready after 10 s; its log: %s", tail(filepath.Join(d.folder, "gateway.log")))
}

// process returns the gateway's process and the channel that is closed when it has ended.
func (d *deployment) process() (*os.Process, <-chan struct{}) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.gateway.Process, d.exited
}

// stop ends what was started and removes the temporary folder.
func (d *deployment) stop() {
	d.mutex.Lock()
	if d.gateway != nil {
		d.gateway.Process.Kill()
		<-d.exited
	}
	d.mutex.Unlock()
	d.server.Close()
	os.RemoveAll(d.folder)
}

// tail returns the end of a file.
func tail(path string) string {
	b, _ := os.ReadFile(path)
	return string(b[max(0, len(b)-500):])
}

// residentMB returns the resident memory of a process in MB; 0 if it is not known.
func residentMB(pid int) int {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(b)) {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			return kb >> 10
		}
	}
	return 0
}
