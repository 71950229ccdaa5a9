// Package raft implements the Raft log of the control group as a pure state machine, without clock,
// goroutines, disk or network.
//
// The caller passes in messages (Step), time (Tick) and proposals, then takes a Ready, persists it, sends its
// messages, applies its committed entries, and calls Advance. Between Ready and Advance no other method that
// changes the state may be called.
//
// Source: Ongaro, "Consensus: Bridging Theory and Practice" (2014), called the thesis in comments, with
// pre-vote (9.6), check-quorum (6.2) and single-server membership changes (4.1).
package raft
