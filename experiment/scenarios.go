package experiment

import (
	"fmt"
	"time"

	"opalbridge.dev/fleettest"
)

// Size is how large a scenario's fleet is.
type Size struct {
	Routers int
	Models  int
	Degree  int
	Length  time.Duration
}

// Today is the users' size of today: three halls, a router in each, nine model
// servers, sixteen accounts of which four are large.
func Today(length time.Duration) Size { return Size{Routers: 3, Models: 9, Length: length} }

const (
	largeAccounts = 4
	smallAccounts = 12
	warm          = 30 * time.Second
	placesEach    = 8
	// Of long requests.
	leastTokens = 50
	mostTokens  = 800
	promptBytes = 2000
	halls       = 3
)

func every(routers int) []int {
	var all []int
	for i := range routers {
		all = append(all, i)
	}
	return all
}

func large(i int) string { return fmt.Sprintf("large-%d", i) }

func small(i int) string { return fmt.Sprintf("small-%02d", i) }

// backlogged are callers that always have requests waiting.
func backlogged(account string, routers []int, callers int) Client {
	return Client{Account: account, Routers: routers, Callers: callers, Least: leastTokens, Most: mostTokens, Input: promptBytes, Wrong: 3}
}

func (z Size) scenario(name string, way Way, clients []Client) Scenario {
	return Scenario{
		Name: name, Way: way, Routers: z.Routers, Models: z.Models, Slots: placesEach, Degree: z.Degree,
		Clients: clients, Warm: warm, Length: z.Length, Seed: 1,
	}
}

// callersFor is how many callers keep an account backlogged on this fleet.
func (z Size) callersFor() int { return z.Models * placesEach / 3 }

// Even has every account on every router.
func Even(way Way, z Size) Scenario {
	var clients []Client
	for i := range largeAccounts + smallAccounts {
		clients = append(clients, backlogged(small(i), every(z.Routers), max(1, z.callersFor()/z.Routers)))
	}
	return z.scenario("even", way, clients)
}

// Uneven has four accounts with many callers on every router, and twelve on one
// router each.
func Uneven(way Way, z Size) Scenario {
	var clients []Client
	for i := range largeAccounts {
		clients = append(clients, backlogged(large(i), every(z.Routers), max(1, 4*z.callersFor()/z.Routers)))
	}
	for i := range smallAccounts {
		clients = append(clients, backlogged(small(i), []int{i * z.Routers / smallAccounts}, z.callersFor()))
	}
	return z.scenario("uneven", way, clients)
}

// WrongHints is Uneven with cost hints that are wrong by up to ten times.
func WrongHints(way Way, z Size) Scenario {
	s := Uneven(way, z)
	s.Name = "wrong hints"
	for i := range s.Clients {
		s.Clients[i].Wrong = 10
	}
	return s
}

// Flood has one account with a hundred times the callers of its share, and the
// others with what their share can carry.
func Flood(way Way, z Size) Scenario {
	s := Quiet(way, z)
	s.Name = "flood"
	s.Clients[len(s.Clients)-1] = backlogged(flood, every(z.Routers), 100*z.share()/z.Routers)
	return s
}

const flood = "flood"

// share is how many callers carry an account's share, rounded up.
func (z Size) share() int {
	accounts := largeAccounts + smallAccounts + 1
	return z.Models*placesEach/accounts + 1
}

// Quiet has every account offer just its share.
func Quiet(way Way, z Size) Scenario {
	var clients []Client
	for i := range largeAccounts + smallAccounts {
		clients = append(clients, backlogged(small(i), []int{i % z.Routers}, z.share()))
	}
	clients = append(clients, backlogged(flood, []int{0}, z.share()))
	return z.scenario("quiet", way, clients)
}

// Returning has accounts that go idle and come back.
func Returning(way Way, z Size) Scenario {
	s := Uneven(way, z)
	s.Name = "idle and back"
	half := warm + z.Length/2
	for i := range s.Clients {
		if i%4 == 3 {
			again := s.Clients[i]
			again.From = half
			s.Clients[i].Until = warm + z.Length/4
			s.Clients = append(s.Clients, again)
		}
	}
	for i := range smallAccounts {
		if (i+largeAccounts)%4 != 3 {
			s.Compare = append(s.Compare, small(i))
		}
	}
	return s
}

// Partition cuts one hall off from the others for most of the measurement. What is
// promised is fairness within each side; the accounts compared are those whose
// callers are all on the larger side.
func Partition(way Way, z Size) Scenario {
	s := Uneven(way, z)
	s.Name = "partition"
	for i := range smallAccounts {
		if at := i * z.Routers / smallAccounts; at%halls != 0 {
			s.Compare = append(s.Compare, small(i))
		}
	}
	s.Faults = []Fault{
		{warm + z.Length/10, func(f *fleettest.Fleet) {
			f.Network.Cut("hall-1", "hall-2")
			f.Network.Cut("hall-1", "hall-3")
		}},
		{warm + z.Length*7/10, func(f *fleettest.Fleet) { f.Network.Heal() }},
	}
	return s
}

// Restarts restarts a tenth of the routers and agents each minute.
func Restarts(way Way, z Size) Scenario {
	s := Uneven(way, z)
	s.Name = "restarts"
	nodes := z.Routers + z.Models
	each := max(1, nodes/10)
	at := warm
	for i := 0; at < warm+z.Length; i++ {
		for j := range each {
			n := (i*each + j) * 7 % nodes
			s.Faults = append(s.Faults, Fault{at + time.Duration(j)*time.Second, func(f *fleettest.Fleet) { restart(f, n) }})
		}
		at += time.Minute
	}
	return s
}

func restart(f *fleettest.Fleet, n int) {
	if n < len(f.Agents) {
		f.CrashAgent(f.Agents[n])
		f.StartAgent(f.Agents[n])
		return
	}
	r := f.Routers[n-len(f.Agents)]
	f.CrashRouter(r)
	f.StartRouter(r)
}

// Pools of Overlap.
const (
	poolA = "a"
	poolB = "b"
)

// Overlap has two pools that share a third of the servers: small accounts can use
// only the second, which is the narrower one for each of them.
func Overlap(way Way, z Size) Scenario {
	s := Uneven(way, z)
	s.Name = "overlapping pools"
	s.Pools = func(server int) []string {
		switch server % 3 {
		case 0:
			return []string{poolA}
		case 1:
			return []string{poolA, poolB}
		default:
			return []string{poolB}
		}
	}
	for i := range s.Clients {
		s.Clients[i].Pool = poolB
		if i < largeAccounts {
			s.Clients[i].Pool = poolA
		} else {
			s.Compare = append(s.Compare, s.Clients[i].Account)
		}
	}
	return s
}

// AllUrgent has one account mark all its requests urgent, and every other mark a
// small part of its requests.
func AllUrgent(way Way, z Size) Scenario {
	s := Uneven(way, z)
	s.Name = "all urgent"
	s.Clients[largeAccounts].Urgent = true
	return s
}

// Urgent has each account send short urgent questions beside its backlog.
func Urgent(way Way, z Size) Scenario {
	s := Uneven(way, z)
	s.Name = "urgent questions"
	for i := range smallAccounts {
		c := backlogged(small(i), []int{i * z.Routers / smallAccounts}, 1)
		c.Urgent, c.Least, c.Most, c.Input, c.Think = true, 20, 60, 200, 10*time.Second
		s.Clients = append(s.Clients, c)
	}
	return s
}

// All returns every scenario at a size.
func All(way Way, z Size) []Scenario {
	return []Scenario{
		Even(way, z), Uneven(way, z), WrongHints(way, z), Flood(way, z), Quiet(way, z), Returning(way, z),
		Partition(way, z), Restarts(way, z), Overlap(way, z), AllUrgent(way, z), Urgent(way, z),
	}
}
