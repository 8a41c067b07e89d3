// Package shardmap decides which cluster a key's requests go to, how a range of keys moves from one cluster to another while requests
// go on, and when a router (a pooler of the fleet) may write to a range.
//
// It owns the document MapKey, which holds the map and its moves and whose epoch grows by one with every step; a document for each
// router, under RouterPrefix, which names the process that may write; and the operators' orders, under OrderPrefix. The pooler that holds
// the lease LeaseName coordinates the moves, step by step. Each step is one write of the map's document, fenced by the lease's token.
//
// Document, Coordinator and Router decide and do no I/O; Component carries their decisions out on goroutines of its own; Guard is
// called on the event loop of a frontend. The package does not copy data: that is a Copier's, and the servers'.
//
// The caller owes one process at a time under a pooler's name, servers that answer a write only once it is durable, and a Copier whose
// acts can be repeated.
//
// Invariants: a write that was answered as served is in its range's home for as long as there is one, and a write that may have run at
// one home never runs at another. rules.go lists the rules that these rest on; each is one named function.
package shardmap

import "threadsail/internal/fleet/lease"

// The keys of the shared documents.
const (
	MapKey       = "shards/map"
	RouterPrefix = "shards/router/" // followed by a pooler's name: the process that may write
	OrderPrefix  = "shards/order/"  // followed by a move's name: what the operators order
)

// LeaseName is the lease of the pooler that coordinates moves.
const LeaseName lease.Name = "shards/moves"
