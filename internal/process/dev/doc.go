// Package dev assembles a complete deployment in one process on loopback, with one control process, and an agent and a
// stand-in for each upstream.
package dev
