// Package peer sends attempts, withdrawals and idempotency records between agents over gRPC.
package peer
