// Package distribution replicates the resources that all poolers of a fleet share, the documents and the list of servers, to each
// pooler. The cost for one pooler does not grow with the size of the fleet.
//
// Some dozens of poolers are distributors (Distributor), and each distributor keeps a link to every other one. Every other pooler
// subscribes to one distributor (Subscriber) over a single stream and knows the other distributors to fail over to. The protocol
// follows the delta variant of Envoy's xDS: the hello names the versions that the subscriber holds, and the distributor sends the
// changes since then, as a delta if its history reaches back that far and as a snapshot otherwise. At each heartbeat the distributor
// announces the newest version it knows and the time at which that version was confirmed, and the subscriber reports the versions that
// it has in force. Messages between poolers (bus.Bus) travel on the same streams.
//
// The package decides
//   - which distributor a pooler connects to (Rank, preferredOrder), how it backs off, and when it returns to the preferred one;
//   - which connections a distributor admits (admission, streamLimit);
//   - which update a subscriber needs, and whether a received update applies to its replica (publishedResource, nextSnapshot);
//   - when a peer is disconnected because it is too slow, lags too far behind or violates the protocol (outbox, timing, lagDetector).
//
// The package owns the connections, their goroutines and the frames that are queued for them. Subscriber and Distributor are safe for
// concurrent use; their methods never block on the network, apart from Close, which waits for the goroutines to end. A message handler
// runs on the goroutine that reads the stream and must not block.
//
// The package does not create versions or resolve conflicts (package replication and the voters do), stores nothing on disk, neither
// encrypts nor authenticates, and does not resend a message that could not be delivered.
//
// Invariants: a replica moves only forward, from one complete version to another. A distributor does not send data that the subscriber
// already holds. A slow reader is disconnected when a limit is exceeded, and resumes from its versions when it reconnects. A pooler
// without a distributor keeps its last replicas and knows their age. docs/distribution.md lists the rules and their bounds.
package distribution
