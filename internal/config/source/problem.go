package source

import (
	"fmt"
	"sort"
	"strings"
)

// Position is a place in a file; a line of 0 means the whole file.
type Position struct {
	file string
	line int
}

// NewPosition returns a place; lines start at 1.
func NewPosition(file string, line int) Position { return Position{file: file, line: line} }

// File returns the name of the file.
func (pos Position) File() string { return pos.file }

// Line returns the line, starting at 1, or 0 for the whole file.
func (pos Position) Line() int { return pos.line }

// String returns FILE:LINE.
func (pos Position) String() string {
	if pos.line == 0 {
		return pos.file
	}
	return fmt.Sprintf("%s:%d", pos.file, pos.line)
}

// Problem is one error in a file.
type Problem struct {
	position Position
	key      string
	message  string
}

// Position returns where the problem is.
func (prb *Problem) Position() Position { return prb.position }

// Key returns the dotted key, empty for a syntax error.
func (prb *Problem) Key() string { return prb.key }

// Error returns FILE:LINE: KEY: MESSAGE.
func (prb *Problem) Error() string {
	if prb.key == "" {
		return fmt.Sprintf("%s: %s", prb.position, prb.message)
	}
	return fmt.Sprintf("%s: %s: %s", prb.position, prb.key, prb.message)
}

// ProblemsError lists every problem of a set of files, one a line.
type ProblemsError struct {
	problems []*Problem
}

// Problems returns the problems in the order of files and lines.
func (pbe *ProblemsError) Problems() []*Problem { return pbe.problems }

// Error returns one line for each problem.
func (pbe *ProblemsError) Error() string {
	lns := make([]string, 0, len(pbe.problems))
	for _, prb := range pbe.problems {
		lns = append(lns, prb.Error())
	}
	return strings.Join(lns, "\n")
}

// Checker collects problems.
type Checker struct {
	problems []*Problem
}

// Add records a problem; the key may be empty.
func (chk *Checker) Add(pos Position, key, format string, args ...any) {
	prb := &Problem{position: pos, key: key, message: fmt.Sprintf(format, args...)}
	chk.problems = append(chk.problems, prb)
}

// Err returns a *ProblemsError with all problems in order, nil if there are none.
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
