// Package http serves the admin API of a process over HTTP with JSON, and holds the client of that API.
package http
