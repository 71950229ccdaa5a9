// Package raft is the replicated log of the control group as a pure state machine, without clock, goroutine, disk or network.
//
// The caller passes in messages (Step), time (Tick) and proposals, then takes a Ready, makes it durable, sends its messages, applies its committed entries, and calls Advance. Between Ready and Advance no other method that changes the state may be called.
//
// Source: Ongaro, "Consensus: Bridging Theory and Practice" (2014), with pre-vote (9.6), check-quorum (6.2) and single-server changes (4.1).
package raft
