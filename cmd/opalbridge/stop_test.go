package main

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"opalbridge.dev/config"
	"opalbridge.dev/kv"
	"opalbridge.dev/settings"
)

// slowListener stands for a router that is short of processor time: while it is suspended, it reads nothing.
type slowListener struct {
	*net.TCPListener
	mutex sync.RWMutex // held for writing while it is suspended
}

// Accept implements net.Listener.
func (l *slowListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &slowConn{c, l}, nil
}

// slowConn is a connection of a slowListener.
type slowConn struct {
	*net.TCPConn
	listener *slowListener
}

// Read implements net.Conn.
func (c *slowConn) Read(b []byte) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err != syscall.EAGAIN
	})
	if err != nil {
		return 0, err
	}
	c.listener.mutex.RLock()
	defer c.listener.mutex.RUnlock()
	return c.TCPConn.Read(b)
}

// startSlowRouter adds a router to the fleet.
func (f *devFleet) startSlowRouter(t *testing.T) (*runningRouter, *slowListener) {
	front, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	peers, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	s := &settings.Settings{
		Name: "router-slow", Hall: devHall(0), PeerAddress: peers.Addr().String(), PlatformURL: f.url,
		OperatorTokenHash: config.HashKey(f.token), ReportInterval: reportInterval, Records: maxRecords,
	}
	require.NoError(t, f.store.SetHost(t.Context(), kv.Host{Name: s.Name, Role: kv.Router, Hall: s.Hall, Address: s.PeerAddress}))
	l := &slowListener{TCPListener: front.(*net.TCPListener)}
	ctx, cancel := context.WithCancel(context.Background())
	p, err := startRouter(ctx, s, f.telemetry, zerolog.Nop(), l, peers)
	require.NoError(t, err)
	t.Cleanup(func() {
		cancel()
		<-p.done
	})
	require.Eventually(t, func() bool { return p.router.AgentsConnected() == len(f.agents) }, devReadyTimeout, 10*time.Millisecond)
	return p, l
}

// TestRouterStopAnswersArrivedRequests guards against a stop that resets connections on which requests have arrived.
func TestRouterStopAnswersArrivedRequests(t *testing.T) {
	f := startDev(t)
	tests := []struct {
		name string
		kept bool // the connection has served a request before
	}{
		{"kept connection", true},
		{"new connection", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p, l := f.startSlowRouter(t)
			c, err := net.Dial("tcp4", l.Addr().String())
			require.NoError(t, err)
			defer c.Close()
			require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
			reader := bufio.NewReader(c)
			send := func() {
				_, err := io.WriteString(c, "GET /v1/models HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+f.keys[0]+"\r\n\r\n")
				require.NoError(t, err)
			}
			readAnswer := func() *http.Response {
				answer, err := http.ReadResponse(reader, nil)
				require.NoError(t, err, "a request that had arrived got no answer")
				_, err = io.Copy(io.Discard, answer.Body)
				require.NoError(t, err)
				return answer
			}
			if test.kept {
				send()
				require.Equal(t, http.StatusOK, readAnswer().StatusCode)
			}
			l.mutex.Lock()
			send()
			time.Sleep(50 * time.Millisecond)
			stopped := make(chan struct{})
			go func() {
				p.stop(context.Background(), 8*time.Second, zerolog.Nop())
				close(stopped)
			}()
			time.Sleep(100 * time.Millisecond)
			l.mutex.Unlock()
			require.True(t, readAnswer().Close)
			<-stopped
		})
	}
}
