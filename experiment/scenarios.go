package experiment

import (
	"fmt"
	"time"

	"opalbridge.dev/fleettest"
)

// Size is the size of a scenario's fleet and the duration of its measurement.
type Size struct {
	Routers  int
	Models   int
	Degree   int
	Duration time.Duration
}

// CurrentSize is the size of the users' current fleet: three halls, a router in each, nine model
// servers, sixteen accounts of which four are large.
func CurrentSize(length time.Duration) Size { return Size{Routers: 3, Models: 9, Duration: length} }

const (
	largeAccounts  = 4
	smallAccounts  = 12
	warmup         = 30 * time.Second
	slotsPerServer = 8
	// Of the requests of backlogged callers.
	minTokens   = 50
	maxTokens   = 800
	promptBytes = 2000
	halls       = 3
)

func allRouters(routers int) []int {
	var all []int
	for i := range routers {
		all = append(all, i)
	}
	return all
}

func largeAccount(i int) string { return fmt.Sprintf("large-%d", i) }

func smallAccount(i int) string { return fmt.Sprintf("small-%02d", i) }

// backlogged returns callers that always have requests waiting.
func backlogged(account string, routers []int, callers int) Client {
	return Client{Account: account, Routers: routers, Callers: callers, MinTokens: minTokens, MaxTokens: maxTokens, PromptBytes: promptBytes, HintError: 3}
}

func (z Size) scenario(name string, strategy Strategy, clients []Client) Scenario {
	return Scenario{
		Name: name, Strategy: strategy, Routers: z.Routers, Models: z.Models, Slots: slotsPerServer, Degree: z.Degree,
		Clients: clients, Warmup: warmup, Duration: z.Duration, Seed: 1,
	}
}

// backloggedCallers returns the number of callers that keep an account backlogged.
func (z Size) backloggedCallers() int { return z.Models * slotsPerServer / 3 }

// Even spreads every account over every router.
func Even(strategy Strategy, z Size) Scenario {
	var clients []Client
	for i := range largeAccounts + smallAccounts {
		clients = append(clients, backlogged(smallAccount(i), allRouters(z.Routers), max(1, z.backloggedCallers()/z.Routers)))
	}
	return z.scenario("even", strategy, clients)
}

// Uneven has four accounts with many callers on every router, and twelve on one
// router each.
func Uneven(strategy Strategy, z Size) Scenario {
	var clients []Client
	for i := range largeAccounts {
		clients = append(clients, backlogged(largeAccount(i), allRouters(z.Routers), max(1, 4*z.backloggedCallers()/z.Routers)))
	}
	for i := range smallAccounts {
		clients = append(clients, backlogged(smallAccount(i), []int{i * z.Routers / smallAccounts}, z.backloggedCallers()))
	}
	return z.scenario("uneven", strategy, clients)
}

// WrongHints is Uneven with cost hints that are off by up to a factor of ten.
func WrongHints(strategy Strategy, z Size) Scenario {
	s := Uneven(strategy, z)
	s.Name = "wrong hints"
	for i := range s.Clients {
		s.Clients[i].HintError = 10
	}
	return s
}

// Flood has one account with a hundred times the callers that its share can serve, and the
// others with as many callers as their share can serve.
func Flood(strategy Strategy, z Size) Scenario {
	s := Quiet(strategy, z)
	s.Name = "flood"
	s.Clients[len(s.Clients)-1] = backlogged(floodAccount, allRouters(z.Routers), 100*z.callersPerShare()/z.Routers)
	return s
}

const floodAccount = "flood"

// callersPerShare returns the number of callers that use an account's share, rounded up.
func (z Size) callersPerShare() int {
	accounts := largeAccounts + smallAccounts + 1
	return z.Models*slotsPerServer/accounts + 1
}

// Quiet has every account offer a load equal to its share.
func Quiet(strategy Strategy, z Size) Scenario {
	var clients []Client
	for i := range largeAccounts + smallAccounts {
		clients = append(clients, backlogged(smallAccount(i), []int{i % z.Routers}, z.callersPerShare()))
	}
	clients = append(clients, backlogged(floodAccount, []int{0}, z.callersPerShare()))
	return z.scenario("quiet", strategy, clients)
}

// IdleAndBack has every fourth client go idle and return later.
func IdleAndBack(strategy Strategy, z Size) Scenario {
	s := Uneven(strategy, z)
	s.Name = "idle and back"
	half := warmup + z.Duration/2
	for i := range s.Clients {
		if i%4 == 3 {
			returning := s.Clients[i]
			returning.From = half
			s.Clients[i].Until = warmup + z.Duration/4
			s.Clients = append(s.Clients, returning)
		}
	}
	for i := range smallAccounts {
		if (i+largeAccounts)%4 != 3 {
			s.Compare = append(s.Compare, smallAccount(i))
		}
	}
	return s
}

// Partition cuts one hall off from the others for most of the measurement. Fairness is
// guaranteed within each side only, so the accounts compared are those whose callers
// are all on the larger side.
func Partition(strategy Strategy, z Size) Scenario {
	s := Uneven(strategy, z)
	s.Name = "partition"
	for i := range smallAccounts {
		if at := i * z.Routers / smallAccounts; at%halls != 0 {
			s.Compare = append(s.Compare, smallAccount(i))
		}
	}
	s.Faults = []Fault{
		{warmup + z.Duration/10, func(f *fleettest.Fleet) {
			f.Network.Cut("hall-1", "hall-2")
			f.Network.Cut("hall-1", "hall-3")
		}},
		{warmup + z.Duration*7/10, func(f *fleettest.Fleet) { f.Network.Heal() }},
	}
	return s
}

// Restarts restarts a tenth of the routers and agents each minute.
func Restarts(strategy Strategy, z Size) Scenario {
	s := Uneven(strategy, z)
	s.Name = "restarts"
	nodes := z.Routers + z.Models
	each := max(1, nodes/10)
	at := warmup
	for i := 0; at < warmup+z.Duration; i++ {
		for j := range each {
			n := (i*each + j) * 7 % nodes
			s.Faults = append(s.Faults, Fault{at + time.Duration(j)*time.Second, func(f *fleettest.Fleet) { restartNode(f, n) }})
		}
		at += time.Minute
	}
	return s
}

func restartNode(f *fleettest.Fleet, n int) {
	if n < len(f.Agents) {
		f.CrashAgent(f.Agents[n])
		f.StartAgent(f.Agents[n])
		return
	}
	r := f.Routers[n-len(f.Agents)]
	f.CrashRouter(r)
	f.StartRouter(r)
}

// Pools of the Overlap scenario.
const (
	poolA = "a"
	poolB = "b"
)

// Overlap has two pools that share a third of the servers. Large accounts use only the first
// pool, small accounts only the second.
func Overlap(strategy Strategy, z Size) Scenario {
	s := Uneven(strategy, z)
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

// AllUrgent has one account mark all its requests urgent, and the others none.
func AllUrgent(strategy Strategy, z Size) Scenario {
	s := Uneven(strategy, z)
	s.Name = "all urgent"
	s.Clients[largeAccounts].Urgent = true
	return s
}

// Urgent has each small account send short urgent requests in addition to its backlog.
func Urgent(strategy Strategy, z Size) Scenario {
	s := Uneven(strategy, z)
	s.Name = "urgent questions"
	for i := range smallAccounts {
		c := backlogged(smallAccount(i), []int{i * z.Routers / smallAccounts}, 1)
		c.Urgent, c.MinTokens, c.MaxTokens, c.PromptBytes, c.Think = true, 20, 60, 200, 10*time.Second
		s.Clients = append(s.Clients, c)
	}
	return s
}

// All returns every scenario at a size.
func All(strategy Strategy, z Size) []Scenario {
	return []Scenario{
		Even(strategy, z), Uneven(strategy, z), WrongHints(strategy, z), Flood(strategy, z), Quiet(strategy, z), IdleAndBack(strategy, z),
		Partition(strategy, z), Restarts(strategy, z), Overlap(strategy, z), AllUrgent(strategy, z), Urgent(strategy, z),
	}
}
