// Package owner admits attempts for the keys that this agent owns: ownership and lease checks, queue and concurrency limit, attempt and idempotency records, release of moving shards.
package owner
