// Package actor holds what the processes share: loggers, and servers as actors of a run group.
package actor
