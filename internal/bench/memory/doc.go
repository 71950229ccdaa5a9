// Package memory measures how much memory and how many descriptors a test or a process takes.
package memory
