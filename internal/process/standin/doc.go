// Package standin assembles the process of a stand-in backend server.
package standin
