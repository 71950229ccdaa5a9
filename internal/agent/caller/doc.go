// Package caller accepts callers' HTTP requests and forwards each to the owner of its key.
package caller
