// Package wal stores the replicated log, hard state, formation and snapshots of one control
// process in its data directory.
//
// The directory holds the files lock, store_id, NNNNNNNN.wal (segments, 8 digits) and N.snap (snapshots, 20 digits). A
// segment is a sequence of records: length and CRC32C of the payload, four bytes each in little-endian order, then the
// payload. Each Append writes one record, so that a torn write never leaves a valid record after an invalid one.
package wal
