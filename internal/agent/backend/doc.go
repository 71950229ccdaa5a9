// Package backend speaks HTTP with the backend server on this host: announcements, grants, requests, and the detection of its failure.
package backend
