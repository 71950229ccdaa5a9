// Package peerpb holds the messages and the service between agents.
package peerpb
