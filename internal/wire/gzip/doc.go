// Package gzip is a gRPC compressor that compresses long messages only and sends short ones unchanged.
package gzip
