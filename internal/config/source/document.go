package source

import (
	"errors"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Value is a scalar or array as the TOML parser returns it.
type Value struct {
	kind  unstable.Kind
	text  string
	items []Value
}

// Entry is a key of a section with its value and position.
type Entry struct {
	key      string
	position Position
	value    Value
}

// Position returns the position of the key.
func (ent *Entry) Position() Position { return ent.position }

// Section is a table of a TOML file; the number of parts of its name is the depth passed to Read.
type Section struct {
	path     []string
	position Position
	entries  []*Entry
}

// Path returns the parts of the section's name.
func (sec *Section) Path() []string { return sec.path }

// Name returns the parts of the section's name, joined by dots.
func (sec *Section) Name() string { return strings.Join(sec.path, ".") }

// Position returns the position of the section's header or first key.
func (sec *Section) Position() Position { return sec.position }

// At returns the position of a key, or that of the section if the key is not set.
func (sec *Section) At(key string) Position {
	for _, ent := range sec.entries {
		if ent.key == key {
			return ent.position
		}
	}
	return sec.position
}

// Has reports whether the section sets a key.
func (sec *Section) Has(key string) bool {
	for _, ent := range sec.entries {
		if ent.key == key {
			return true
		}
	}
	return false
}

// reader turns the expressions of one file into sections whose names have a fixed number of parts.
type reader struct {
	parser   unstable.Parser
	file     string
	depth    int
	table    []string
	headers  map[string]bool
	sections []*Section
	checker  *Checker
}

// Read returns the sections of a TOML text in the order of the file; depth is the number of parts of their names, 2 for
// [service.NAME].
func Read(file string, data []byte, depth int, chk *Checker) []*Section {
	rdr := &reader{file: file, depth: depth, headers: map[string]bool{}, checker: chk}
	rdr.parser.Reset(data)
	for rdr.parser.NextExpression() {
		rdr.readExpression(rdr.parser.Expression())
	}
	if err := rdr.parser.Error(); err != nil {
		rdr.addSyntaxError(err, data)
		return rdr.sections
	}
	rdr.checkSemantics(data)
	return rdr.sections
}

// checkSemantics decodes the text with the library for errors that its parser does not find, such as a table that is also
// an inline table.
func (rdr *reader) checkSemantics(data []byte) {
	if len(rdr.checker.problems) > 0 {
		return
	}
	var all map[string]any
	err := toml.Unmarshal(data, &all)
	var dec *toml.DecodeError
	if errors.As(err, &dec) {
		row, _ := dec.Position()
		rdr.checker.Add(Position{file: rdr.file, line: row}, strings.Join(dec.Key(), "."), "%s", strings.TrimPrefix(dec.Error(), "toml: "))
		return
	}
	if err != nil {
		rdr.checker.Add(Position{file: rdr.file}, "", "%s", strings.TrimPrefix(err.Error(), "toml: "))
	}
}

func (rdr *reader) addSyntaxError(err error, data []byte) {
	pos := Position{file: rdr.file, line: 1 + strings.Count(string(data), "\n")}
	var per *unstable.ParserError
	if errors.As(err, &per) && per.Highlight != nil {
		pos.line = rdr.lineOf(rdr.parser.Range(per.Highlight))
	}
	rdr.checker.Add(pos, "", "syntax: %s", err.Error())
}

func (rdr *reader) lineOf(rng unstable.Range) int {
	return rdr.parser.Shape(rng).Start.Line
}

func (rdr *reader) readExpression(nod *unstable.Node) {
	switch nod.Kind {
	case unstable.Table:
		rdr.readHeader(nod)
	case unstable.ArrayTable:
		pos, pth := rdr.readKey(nod)
		rdr.table = nil
		rdr.checker.Add(pos, strings.Join(pth, "."), "arrays of tables are not used here; write [%s]", strings.Join(pth, "."))
	case unstable.KeyValue:
		rdr.readKeyValue(rdr.table, nod)
	}
}

func (rdr *reader) readHeader(nod *unstable.Node) {
	pos, pth := rdr.readKey(nod)
	rdr.table = pth
	nam := strings.Join(pth, "\x00")
	if rdr.headers[nam] {
		rdr.checker.Add(pos, strings.Join(pth, "."), "is defined twice in this file")
		return
	}
	rdr.headers[nam] = true
	if len(pth) > rdr.depth {
		rdr.checker.Add(pos, strings.Join(pth, "."), "unknown section; allowed are names of %d parts", rdr.depth)
	}
	if len(pth) >= rdr.depth {
		rdr.findOrAddSection(pth[:rdr.depth], pos)
	}
}

func (rdr *reader) readKeyValue(pre []string, nod *unstable.Node) {
	pos, key := rdr.readKey(nod)
	pth := append(append([]string{}, pre...), key...)
	val := nod.Value()
	if val.Kind == unstable.InlineTable && len(pth) <= rdr.depth {
		rdr.readInlineTable(pth, pos, val)
		return
	}
	if len(pth) <= rdr.depth {
		rdr.checker.Add(pos, strings.Join(pth, "."), "must stand in a section")
		return
	}
	sec := rdr.findOrAddSection(pth[:rdr.depth], pos)
	nam := strings.Join(pth[rdr.depth:], ".")
	if sec.Has(nam) {
		rdr.checker.Add(pos, strings.Join(pth, "."), "is set twice, first in line %d", sec.At(nam).line)
		return
	}
	sec.entries = append(sec.entries, &Entry{key: nam, position: pos, value: rdr.readValue(val)})
}

func (rdr *reader) readInlineTable(pth []string, pos Position, nod *unstable.Node) {
	if len(pth) == rdr.depth {
		rdr.findOrAddSection(pth, pos)
	}
	for itr := nod.Children(); itr.Next(); {
		rdr.readKeyValue(pth, itr.Node())
	}
}

func (rdr *reader) readKey(nod *unstable.Node) (Position, []string) {
	pos := Position{file: rdr.file}
	var pth []string
	for itr := nod.Key(); itr.Next(); {
		if pos.line == 0 {
			pos.line = rdr.lineOf(itr.Node().Raw)
		}
		pth = append(pth, string(itr.Node().Data))
	}
	return pos, pth
}

func (rdr *reader) readValue(nod *unstable.Node) Value {
	val := Value{kind: nod.Kind, text: string(nod.Data)}
	if nod.Kind == unstable.Array {
		for itr := nod.Children(); itr.Next(); {
			val.items = append(val.items, rdr.readValue(itr.Node()))
		}
	}
	return val
}

func (rdr *reader) findOrAddSection(pth []string, pos Position) *Section {
	nam := strings.Join(pth, "\x00")
	for _, sec := range rdr.sections {
		if strings.Join(sec.path, "\x00") == nam {
			return sec
		}
	}
	sec := &Section{path: append([]string{}, pth...), position: pos}
	rdr.sections = append(rdr.sections, sec)
	return sec
}
