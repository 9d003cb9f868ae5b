package gateway

import (
	"fmt"
	"testing"
	"time"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/peer"
)

// BenchmarkViewChange applies a change of one server among 3,000 at a gateway that knows 300
// peers. Searching all peers for each server, and sorting the servers, would dominate the time.
func BenchmarkViewChange(b *testing.B) {
	const servers, gateways, serversEach = 3000, 300, 10
	now := time.Now()
	node, err := peer.Listen(peer.Options{Address: "127.0.0.1:0", State: func() peer.State { return peer.State{} }})
	if err != nil {
		b.Fatal(err)
	}
	g := (&simWorld{now: now, node: node}).newGateway()
	c, err := catalog.NewConfiguration(catalog.Document{Version: 1, Services: []catalog.Service{{Name: "s"}}})
	if err != nil {
		b.Fatal(err)
	}
	list := []Change{ConfigurationChanged{Configuration: c}}
	for i := range servers {
		list = append(list, ServerChanged{Server: catalog.Server{ID: fmt.Sprintf("i-%04d", i), Service: "s", Hall: "h"}})
	}
	for i := range gateways {
		running := map[uint64]int{}
		for n := range serversEach {
			running[hashString(fmt.Sprintf("i-%04d", (i*serversEach+n)%servers))] = 1
		}
		g.dispatcher.peerRunning[fmt.Sprint(i)] = running
	}
	g.storeWatcher.applyChanges(now, list, servers)
	g.handleMessages(now)
	for i := range b.N {
		one := list[1].(ServerChanged)
		one.Server.Leaving = i%2 == 0
		g.storeWatcher.applyChanges(now, []Change{one}, catalog.Revision(servers+1+i))
		g.handleMessages(now)
	}
}
