package gateway

import (
	"bufio"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// useUpDescriptors leaves the process without file descriptors until the end of the test.
func useUpDescriptors(t *testing.T) {
	t.Helper()
	var before unix.Rlimit
	require.NoError(t, unix.Getrlimit(unix.RLIMIT_NOFILE, &before))
	t.Cleanup(func() { require.NoError(t, unix.Setrlimit(unix.RLIMIT_NOFILE, &before)) })
	last, err := unix.Open(os.DevNull, unix.O_RDONLY|unix.O_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(last) })
	require.NoError(t, unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(last + 1), Max: before.Max}))
	for {
		fd, err := unix.Open(os.DevNull, unix.O_RDONLY|unix.O_CLOEXEC, 0)
		if err != nil {
			require.ErrorIs(t, err, unix.EMFILE)
			return
		}
		t.Cleanup(func() { _ = unix.Close(fd) })
	}
}

// TestStopWithoutDescriptors guards against a stop that resets the connections in the accept queue because no file
// descriptor is left to accept them with.
func TestStopWithoutDescriptors(t *testing.T) {
	d := newDrainer(t, listenLocal(t))
	callers := make([]net.Conn, 3)
	for i := range callers {
		callers[i] = dialAndWrite(t, d.listener, drainRequest)
	}
	d.listener.spare = openSpare()
	useUpDescriptors(t)
	stopped := make(chan error, 1)
	go func() { stopped <- d.listener.stop() }()
	for _, c := range callers {
		require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err, "a request that had arrived got no answer")
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		c.Close()
	}
	require.NoError(t, <-stopped)
}
