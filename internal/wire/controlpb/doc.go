// Package controlpb contains the generated messages and the gRPC services of control processes, for their members, agents
// and operators.
package controlpb
