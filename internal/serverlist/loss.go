package serverlist

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"threadsail/internal/policy"
)

const reasonNoServers = "no server is listed"

// loss is why a list removes too much to be believed at once.
type loss struct {
	reason    string // empty: it does not
	permanent bool   // waiting does not make the list likelier, as nobody who keeps the cluster running can mean it
}

// clusterLoss counts the ready servers of a cluster.
type clusterLoss struct {
	before  int
	removed int // of those before
	after   int
}

// excessiveLoss tells whether a list removes too much: all ready servers of a cluster, or more than a share of them and more than one.
// Servers that are draining count as removed.
func excessiveLoss(before, after []Server, maxShare float64) loss {
	if len(after) == 0 {
		return loss{reason: reasonNoServers, permanent: true}
	}
	reason := ""
	clusters := lossByCluster(before, after)
	for _, id := range slices.Sorted(maps.Keys(clusters)) {
		c := clusters[id]
		switch {
		case c.removed == 0:
		case c.after == 0:
			return loss{reason: fmt.Sprintf("cluster %d is left without a ready server", id), permanent: true}
		case c.removed > 1 && float64(c.removed) > maxShare*float64(c.before):
			reason = cmp.Or(reason, fmt.Sprintf("it takes %d of %d ready servers of cluster %d away", c.removed, c.before, id))
		}
	}
	return loss{reason: reason}
}

func lossByCluster(before, after []Server) map[int]clusterLoss {
	clusters := map[int]clusterLoss{}
	readyAfter := map[string]bool{} // by Server.Key
	for _, s := range after {
		if s.State == policy.Ready {
			readyAfter[s.Key()] = true
			c := clusters[s.Cluster]
			c.after++
			clusters[s.Cluster] = c
		}
	}
	for _, s := range before {
		if s.State != policy.Ready {
			continue
		}
		c := clusters[s.Cluster]
		c.before++
		if !readyAfter[s.Key()] {
			c.removed++
		}
		clusters[s.Cluster] = c
	}
	return clusters
}
