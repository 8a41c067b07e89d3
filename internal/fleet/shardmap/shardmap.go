// Package shardmap decides which cluster serves a key, moves ranges of keys between clusters without stopping requests, and decides when
// a router may write to a range. A router is a pooler in its role of routing requests by the map.
//
// The package owns three kinds of shared documents. The document MapKey contains the map and its moves; its epoch increases by one with
// each step of a move. A document under RouterPrefix names the enrolled process of one pooler, the only process that may write under the
// pooler's name. A document under OrderPrefix contains one order of the operators. The pooler that holds the lease LeaseName coordinates
// the moves. Each step is one write of the document MapKey, fenced by the lease's token.
//
// Document, Coordinator and Router make the decisions and do no I/O. Component executes the decisions on its own goroutines. Guard is
// called on the event loop of a frontend. The package does not copy data; a Copier and the servers do.
//
// The caller must run at most one process at a time under each pooler's name, use servers that answer a write only once it is durable, and
// provide a Copier whose acts can be repeated.
//
// Invariants: a write that was answered as served is stored in the home cluster of its key, across all moves; and a write that may have
// been executed in one cluster is never executed in another. rules.go lists the rules that these invariants depend on, each with the
// function that implements it.
package shardmap

import "threadsail/internal/fleet/lease"

// The keys of the shared documents.
const (
	MapKey       = "shards/map"
	RouterPrefix = "shards/router/" // followed by a pooler's name; the value is the instance of the enrolled process
	OrderPrefix  = "shards/order/"  // followed by a move's name; the value is an Order
)

// LeaseName is the name of the lease whose holder coordinates moves.
const LeaseName lease.Name = "shards/moves"
