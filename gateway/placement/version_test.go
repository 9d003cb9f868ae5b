package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/placement"
)

// TestStreamContinuesAtItsVersion places a stream that began at v1, for servers that cannot
// continue it in every way.
func TestStreamContinuesAtItsVersion(t *testing.T) {
	server := func(id, version string) catalog.Server {
		return catalog.Server{ID: id, Address: "10.0.0.1:80", Service: "s", Hall: "h", Capacity: 6, Version: version}
	}
	leaving, evacuated := server("i-1", "v1"), server("i-1", "v1")
	leaving.Leaving, evacuated.Evacuated = true, true
	tests := []struct {
		name    string
		servers []catalog.Server
		version string
		change  func(b *placement.Balancer, req *placement.Request)
		want    string // server that gets it; empty: none
	}{
		{"one server of the version", []catalog.Server{server("i-0", "v2"), server("i-1", "v1"), server("i-2", "v3")}, "v1", nil, "i-1"},
		{"none of the version", []catalog.Server{server("i-0", "v2"), server("i-2", "v3")}, "v1", nil, ""},
		{"versions that begin alike", []catalog.Server{server("i-0", "v1.1"), server("i-1", "v")}, "v1", nil, ""},
		{"unknown version", []catalog.Server{server("i-0", ""), server("i-1", "v1")}, "", nil, ""},
		{"server of unknown version", []catalog.Server{server("i-0", "")}, "v1", nil, ""},
		{"leaving", []catalog.Server{server("i-0", "v2"), leaving}, "v1", nil, ""},
		{"evacuated", []catalog.Server{server("i-0", "v2"), evacuated}, "v1", nil, ""},
		{"tried before", []catalog.Server{server("i-0", "v2"), server("i-1", "v1")}, "v1", func(_ *placement.Balancer, req *placement.Request) { req.Exclude = []string{"i-1"} }, ""},
		{"cold", []catalog.Server{server("i-0", "v2"), server("i-1", "v1")}, "v1", func(b *placement.Balancer, _ *placement.Request) { b.CloseUntil("i-1", start.Add(time.Minute)) }, ""},
		{"backing off", []catalog.Server{server("i-0", "v2"), server("i-1", "v1")}, "v1", func(b *placement.Balancer, _ *placement.Request) {
			b.BackoffUntil(start, "i-1", start.Add(time.Minute))
		}, ""},
		{"unreachable", []catalog.Server{server("i-0", "v2"), server("i-1", "v1")}, "v1", func(b *placement.Balancer, _ *placement.Request) {
			b.RecordEnd(start, "i-1", true, placement.Unreachable)
		}, "i-1"},
	}
	for _, test := range tests {
		for _, kind := range []struct {
			name   string
			engine func(string) *catalog.Engine
		}{{"engine", engine}, {"plain", plain}} {
			t.Run(test.name+", "+kind.name, func(t *testing.T) {
				b := placement.NewBalancer(placement.DefaultPolicy())
				b.SetServers(start, test.servers, kind.engine)
				req := longRequest(7)
				req.Pinned, req.Version = true, test.version
				if test.change != nil {
					test.change(b, req)
				}
				assign, ok := b.Place(start, req).(placement.Assign)
				require.Equal(t, test.want != "", ok)
				require.Equal(t, test.want, assign.Server.ID)
			})
		}
	}
}

// TestCopiesStayWithinVersion has servers of two versions and one that caches the whole prompt.
func TestCopiesStayWithinVersion(t *testing.T) {
	tests := []struct {
		name    string
		version string // of the other server
		want    bool   // it copies
	}{
		{"same version", "v1", true},
		{"another version", "v2", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := placement.NewBalancer(placement.DefaultPolicy())
			list := servers(2)
			list[0].Version, list[1].Version = "v1", "v1"
			b.SetServers(start, list, copyEngine)
			req := longRequest(7)
			first := place(b, start, req).(placement.Assign)
			later := start.Add(5 * time.Second)
			for i := range list {
				if list[i].ID != first.Server.ID {
					list[i].Version = test.version
				}
			}
			b.SetServers(later, list, copyEngine)
			req.Exclude = nil
			req.Withheld = map[string]bool{first.Server.ID: true}
			second := b.Place(later, req).(placement.Assign)
			require.NotEqual(t, first.Server.ID, second.Server.ID)
			require.Equal(t, test.want, second.CopyFrom != "")
		})
	}
}
