// Package load drives callers' requests at a fixed rate, measures what callers see and judges it against the ledgers of the stand-ins.
package load
