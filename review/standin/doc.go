// Command standin plays the cases of review/ that are scripts: it starts the programs of the deploy file as separate processes on
// loopback addresses, with stand-ins of its own for backend servers, clients, the operator and the platform, and judges what
// these have seen.
package main
