// Package dev assembles a whole deployment in one process on loopback: one control process, and an agent and a stand-in for each upstream.
package dev
