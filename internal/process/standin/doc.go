// Package standin assembles one stand-in backend server.
package standin
