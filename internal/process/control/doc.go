// Package control assembles one control process: replicated log, registry, sessions, operator service and admin API.
package control
