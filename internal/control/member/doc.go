// Package member runs one control process's part of the replicated log: the gRPC service between control processes,
// the loop that drives raft, wal and registry, cluster formation, and membership changes.
package member
