// Package distribution delivers the resources that a whole fleet shares, the documents and the list of servers, to each of its
// poolers, at a cost for a pooler that does not grow with the fleet.
//
// Some dozens of poolers are distributors (Distributor); each keeps a link to every other one. Every other pooler subscribes to one
// distributor (Subscriber) by a single stream, and knows the others to turn to. The protocol follows the delta form of Envoy's xDS: a
// call names the versions that the subscriber holds, and the distributor sends what it lacks since then, a delta where its history
// reaches back that far and else a snapshot, and announces at each heartbeat which version was the newest, and when. A subscriber
// reports at each heartbeat which versions it has in force. Messages between poolers (bus.Bus) travel on the same streams.
//
// It decides
//   - which distributor a pooler calls (Rank, preferredOrder), how it backs off, and when it returns to the preferred one;
//   - which calls a distributor admits (admission, streamLimit);
//   - what a subscriber lacks, and whether an update may follow on its replica (publishedResource, nextSnapshot);
//   - when a peer is too slow, too far behind or in breach of the protocol, and is disconnected (outbox, timing, lagDetector).
//
// It owns the connections, the goroutines on them and what is queued for them. Subscriber and Distributor are safe for use by several
// goroutines; their methods never wait for the network, apart from Close, which waits for the goroutines to end. A handler of a message
// runs on the goroutine that reads the stream, and must not wait.
//
// It makes no versions and settles no conflicts (package replication and the voters do), stores nothing on disk, neither encrypts
// nor authenticates, and does not repeat a message that could not be delivered.
//
// Invariants: a replica moves from complete version to complete version, and only forward. Nothing is sent that the subscriber holds. A slow
// reader is disconnected at a bound and resumes by its versions. Without a distributor a pooler keeps its last replicas and knows
// their age. docs/distribution.md lists the rules and their bounds.
package distribution
