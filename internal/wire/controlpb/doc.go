// Package controlpb holds the messages and services between control processes, agents and operators.
package controlpb
