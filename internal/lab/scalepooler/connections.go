package scalepooler

import (
	"context"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"threadsail/internal/capacity"
	"threadsail/internal/lab/standin"
	"threadsail/internal/rendezvous"
)

func fleetOf(balancers int) string { return fmt.Sprintf("_fleet_%d", balancers) }

// writesOf is the share of writes while connections are counted, one in so many; in each round other groups have theirs, or none
// might fall into a window.
const writesOf = 5

// connections counts the connections that one pooler keeps open at the servers of groups: before any client has asked, and at a
// pooler's share of traffic where its statements go to all groups of the fleet alike, or to a tenth or a hundredth of them.
// From the last size of the fleet it follows what one database gets of all poolers.
func (r *run) connections(ctx context.Context, balancers int) error {
	if r.own == nil {
		for i := range r.Own * GroupOf {
			r.own = append(r.own, r.server(fmt.Sprintf("own%d", i+1), i%GroupOf == 0))
		}
	}
	l := newList()
	defer l.end()
	known := r.entries(len(r.own))
	for i, s := range r.own {
		known[i].HostPort = s.Addr
	}
	l.tell(true, known)
	p, err := r.pooler(ctx, setup{balancers: balancers, known: known, list: l})
	if err != nil {
		return err
	}
	defer p.end()
	if err := pause(ctx, r.Settle); err != nil {
		return err
	}
	if err := r.counted(ctx, "untouched", balancers); err != nil {
		return err
	}
	share := float64(r.Rate) / float64(max(r.Groups, 1))
	for _, times := range []int{1, 10, 100} {
		if share*float64(times*r.Own) > float64(r.Rate) {
			break
		}
		each := share * float64(times) // statements a second and group
		phase := map[int]string{1: "all_groups", 10: "tenth_of_groups", 100: "hundredth_of_groups"}[times]
		busy, cancel := context.WithCancel(ctx)
		ended := make(chan error, 1)
		go func() { ended <- r.traffic(busy, p, each) }()
		err := pause(ctx, r.Idle)
		if err == nil {
			err = r.counted(ctx, phase, balancers)
		}
		cancel()
		if bad := <-ended; err == nil {
			err = bad
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// traffic asks each group so often a second, by turns on one client, until the context ends.
func (r *run) traffic(ctx context.Context, p *process, each float64) error {
	c, err := standin.DialPostgres(p.front)
	if err != nil {
		return err
	}
	defer c.Close()
	due := time.NewTicker(time.Duration(float64(time.Second) / (each * float64(r.Own))))
	defer due.Stop()
	for n := 0; ; n++ {
		select {
		case <-due.C:
		case <-ctx.Done():
			return nil
		}
		text := standin.Read("any", 2*time.Second)
		if (n/r.Own+n)%writesOf == writesOf-1 {
			text = standin.Write("", 2*time.Second)
		}
		if res := c.Do(standin.At(n%r.Own, text)); res.Err != nil {
			return res.Err
		}
	}
}

// counted takes the mean of the connections open at each server over a window. Of a group's replicas the one with most is the
// pooler's home.
func (r *run) counted(ctx context.Context, phase string, balancers int) error {
	const samples = 20
	open := make([]float64, len(r.own))
	for range samples {
		if err := pause(ctx, r.Window/samples); err != nil {
			return err
		}
		for i, s := range r.own {
			open[i] += float64(s.Open()) / samples
		}
	}
	var primary, home, other float64
	for g := range slices.Chunk(open, GroupOf) {
		rest := slices.Sorted(slices.Values(g[1:]))
		primary += g[0] / float64(r.Own)
		home += rest[len(rest)-1] / float64(r.Own)
		for _, n := range rest[:len(rest)-1] {
			other += n / float64(r.Own*(GroupOf-2))
		}
	}
	for _, of := range []struct {
		server string
		mean   float64
	}{{"primary", primary}, {"home", home}, {"other_replica", other}} {
		r.add(phase+fleetOf(balancers), "pooler", 1, "connections_"+of.server, "1", of.mean)
	}
	r.say("%s%s: connections of one pooler at a primary %.3f, at its home %.3f, at another replica %.3f", phase, fleetOf(balancers), primary, home, other)
	if balancers != r.fleetSize() {
		return nil
	}
	least, most := r.homes(balancers, r.Own)
	product := func(figure string, value float64) {
		r.take(capacity.Row{Mechanism: "alone", Phase: phase + fleetOf(balancers), Role: "pooler", Kind: "derived", Figure: figure, Unit: "1",
			Per: "pooler", Size: balancers}, value)
	}
	// The product: each pooler has the slope of a home at one replica of a group and of another replica at the rest.
	at := func(homes int) float64 { return float64(homes)*home + float64(balancers-homes)*other }
	product("connections_primary", float64(balancers)*primary)
	product("connections_replica_fewest_homes", at(least))
	product("connections_replica_most_homes", at(most))
	r.say("%s: of %d poolers a primary gets %.0f connections, a replica %.0f (home of %d) to %.0f (home of %d)", phase, balancers,
		float64(balancers)*primary, at(least), least, at(most), most)
	return nil
}

// homes is of how many poolers of a fleet a replica is the home, at the least and at the most, over so many groups as lists
// here name them.
func (r *run) homes(fleet, groups int) (least, most int) {
	least = fleet
	for g := range groups {
		ids := make([]uint32, GroupOf-1)
		for i := range ids {
			h := fnv.New32a() // as the pooler numbers servers
			fmt.Fprint(h, r.name(fmt.Sprintf("db%d", g*GroupOf+i+2)))
			ids[i] = h.Sum32()
		}
		if fleet > 4096 || groups*fleet*fleet <= 1<<26 { // dealt poolers cost as much as the fleet is large, each
			counts := make([]int, len(ids))
			for me := range fleet {
				counts[rendezvous.Order(me, fleet, ids)[0]]++
			}
			least, most = min(least, slices.Min(counts)), max(most, slices.Max(counts))
			continue
		}
		bound := rendezvous.MaxHomes(fleet, len(ids))
		least, most = min(least, fleet-bound), max(most, bound)
	}
	return least, most
}
