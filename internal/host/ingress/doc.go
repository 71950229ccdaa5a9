// Package ingress limits what a process holds for the heads of incoming requests and for the connections on which they arrive, so that
// clients which it does not control cannot exhaust the memory or the descriptors of its host.
package ingress
