// Package actor sets up the logger and runs servers and loops as actors of a run group, for all kinds of processes.
package actor
