// Package member runs one control process's part of the replicated log: gRPC between control processes, the loop that drives raft, wal and registry, formation, and changes of the membership.
package member
