// Package egress keeps the queue on a host's network link short, so that short messages do not wait behind long ones.
package egress
