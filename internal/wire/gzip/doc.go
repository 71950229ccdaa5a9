// Package gzip compresses the long messages of gRPC streams and leaves the short ones as they are.
package gzip
