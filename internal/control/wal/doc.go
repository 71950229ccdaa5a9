// Package wal keeps the replicated log, hard state, formation and snapshots of one control process under its data directory.
//
// The directory holds the files lock, store_id, NNNNNNNN.wal (segments) and NNNN.snap (snapshots). A segment is a sequence of records: length and CRC32C of the payload, four bytes each in little-endian order, then the payload. Each Append writes one record, so that a torn write never leaves a valid record after a broken one.
package wal
