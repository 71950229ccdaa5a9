// Package load sends callers' requests at a fixed rate (open loop), measures the answers and checks them against
// the ledgers of the stand-ins.
package load
