// Package peerpb contains the generated messages and the gRPC service that agents use among each other.
package peerpb
