package source

import (
	"fmt"
	"sort"
	"strings"
)

// Position is a file and a line in it; line 0 stands for the entire file.
type Position struct {
	file string
	line int
}

// NewPosition returns the position of a line, counted from 1, or of the entire file for line 0.
func NewPosition(file string, line int) Position { return Position{file: file, line: line} }

// File returns the name of the file as passed to Read.
func (pos Position) File() string { return pos.file }

// Line returns the line, counted from 1, or 0 for the entire file.
func (pos Position) Line() int { return pos.line }

// String returns FILE:LINE, or FILE for the entire file.
func (pos Position) String() string {
	if pos.line == 0 {
		return pos.file
	}
	return fmt.Sprintf("%s:%d", pos.file, pos.line)
}

// Problem is an error or a warning about a file with its position and key.
type Problem struct {
	position Position
	key      string
	message  string
}

// Position returns the file and line of the problem.
func (prb *Problem) Position() Position { return prb.position }

// Key returns the key with its section, joined by dots; it is empty for a syntax error.
func (prb *Problem) Key() string { return prb.key }

// Message returns the text of the problem without its position and key.
func (prb *Problem) Message() string { return prb.message }

// Error returns the problem as FILE:LINE: KEY: MESSAGE.
func (prb *Problem) Error() string {
	if prb.key == "" {
		return fmt.Sprintf("%s: %s", prb.position, prb.message)
	}
	return fmt.Sprintf("%s: %s: %s", prb.position, prb.key, prb.message)
}

// ProblemsError is the error for a set of files and holds all problems found in them.
type ProblemsError struct {
	problems []*Problem
}

// Problems returns the problems, sorted by file and line.
func (pbe *ProblemsError) Problems() []*Problem { return pbe.problems }

// Error returns the problems, each on a line of its own.
func (pbe *ProblemsError) Error() string {
	lns := make([]string, 0, len(pbe.problems))
	for _, prb := range pbe.problems {
		lns = append(lns, prb.Error())
	}
	return strings.Join(lns, "\n")
}

// Checker collects the problems that are found while files are read.
type Checker struct {
	problems []*Problem
}

// Add records a problem; the key is empty if the problem concerns no particular key.
func (chk *Checker) Add(pos Position, key, format string, args ...any) {
	prb := &Problem{position: pos, key: key, message: fmt.Sprintf(format, args...)}
	chk.problems = append(chk.problems, prb)
}

// Err returns a *ProblemsError with all problems, sorted by file and line, or nil if there are none.
func (chk *Checker) Err() error {
	if len(chk.problems) == 0 {
		return nil
	}
	sort.SliceStable(chk.problems, func(i, j int) bool {
		pos, oth := chk.problems[i].position, chk.problems[j].position
		if pos.file != oth.file {
			return pos.file < oth.file
		}
		return pos.line < oth.line
	})
	return &ProblemsError{problems: chk.problems}
}
