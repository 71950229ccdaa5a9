// Package http contains the server and the client of the admin API of a process, which is JSON over HTTP.
package http
