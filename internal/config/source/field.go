package source

import (
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Field is a key that a section may have, with the function that checks its value and stores it.
type Field struct {
	key      string
	required bool
	read     func(val Value) error
}

// Required returns a copy of the field whose absence is a problem.
func (fld Field) Required() Field {
	fld.required = true
	return fld
}

// Checked returns a copy of the field with an additional check, which is called after the value is stored.
func (fld Field) Checked(chk func() error) Field {
	read := fld.read
	fld.read = func(val Value) error {
		if err := read(val); err != nil {
			return err
		}
		return chk()
	}
	return fld
}

// Text returns a field for a string that must not be empty.
func Text(key string, dst *string) Field {
	return Field{key: key, read: func(val Value) error {
		if err := val.requireKind(unstable.String, "a string"); err != nil {
			return err
		}
		if val.text == "" {
			return errors.New("must not be empty")
		}
		*dst = val.text
		return nil
	}}
}

// Choice returns a field for a string that must be one of chs.
func Choice(key string, dst *string, chs ...string) Field {
	return Field{key: key, read: func(val Value) error {
		if err := val.requireKind(unstable.String, "a string"); err != nil {
			return err
		}
		for _, cho := range chs {
			if cho == val.text {
				*dst = cho
				return nil
			}
		}
		return errors.Errorf("is %q; allowed: %s%s", val.text, strings.Join(chs, ", "), Suggestion(val.text, chs))
	}}
}

// Texts returns a field for an array of non-empty strings.
func Texts(key string, dst *[]string) Field {
	return Field{key: key, read: func(val Value) error {
		if err := val.requireKind(unstable.Array, "an array of strings"); err != nil {
			return err
		}
		var out []string
		for _, itm := range val.items {
			if itm.kind != unstable.String || itm.text == "" {
				return errors.New("must be an array of non-empty strings")
			}
			out = append(out, itm.text)
		}
		*dst = out
		return nil
	}}
}

// Flag returns a field for a boolean value.
func Flag(key string, dst *bool) Field {
	return Field{key: key, read: func(val Value) error {
		if err := val.requireKind(unstable.Bool, "true or false"); err != nil {
			return err
		}
		*dst = val.text == "true"
		return nil
	}}
}

// Uint32 returns a field for a whole number in a range, both ends included.
func Uint32(key string, dst *uint32, low, high uint32) Field {
	var big uint64
	fld := Uint64(key, &big, uint64(low), uint64(high))
	read := fld.read
	fld.read = func(val Value) error {
		if err := read(val); err != nil {
			return err
		}
		*dst = uint32(big)
		return nil
	}
	return fld
}

// Uint64 returns a field for a whole number in a range, both ends included.
func Uint64(key string, dst *uint64, low, high uint64) Field {
	return Field{key: key, read: func(val Value) error {
		if err := val.requireKind(unstable.Integer, "a whole number"); err != nil {
			return err
		}
		var doc struct{ V int64 }
		if err := toml.Unmarshal([]byte("V = "+val.text), &doc); err != nil {
			return errors.Errorf("is %s; allowed: %d to %d", val.text, low, high)
		}
		if doc.V < 0 || uint64(doc.V) < low || uint64(doc.V) > high {
			return errors.Errorf("is %d; allowed: %d to %d", doc.V, low, high)
		}
		*dst = uint64(doc.V)
		return nil
	}}
}

// Number returns a field for a number, with or without a fraction, in a range, both ends included.
func Number(key string, dst *float64, low, high float64) Field {
	return Field{key: key, read: func(val Value) error {
		if val.kind != unstable.Integer && val.kind != unstable.Float {
			return val.requireKind(unstable.Float, "a number")
		}
		var doc struct{ V float64 }
		if err := toml.Unmarshal([]byte("V = "+val.text), &doc); err != nil || !(doc.V >= low && doc.V <= high) {
			return errors.Errorf("is %s; allowed: %g to %g", val.text, low, high)
		}
		*dst = doc.V
		return nil
	}}
}

// Duration returns a field for a Go duration such as "250ms" in a range, both ends included.
func Duration(key string, dst *time.Duration, low, high time.Duration) Field {
	return Field{key: key, read: func(val Value) error {
		if err := val.requireKind(unstable.String, `a duration such as "250ms"`); err != nil {
			return err
		}
		dur, err := time.ParseDuration(val.text)
		if err != nil {
			return errors.Errorf("is %q; must be a duration such as \"250ms\", allowed: %s to %s", val.text, ShortDuration(low), ShortDuration(high))
		}
		if dur < low || dur > high {
			return errors.Errorf("is %s; allowed: %s to %s", val.text, ShortDuration(low), ShortDuration(high))
		}
		*dst = dur
		return nil
	}}
}

// Millis returns a field for a Go duration that is stored in milliseconds and must be a multiple of one.
func Millis(key string, dst *uint32, low, high time.Duration) Field {
	return durationInUnits(key, dst, low, high, time.Millisecond)
}

// Seconds returns a field for a Go duration that is stored in seconds and must be a multiple of one.
func Seconds(key string, dst *uint32, low, high time.Duration) Field {
	return durationInUnits(key, dst, low, high, time.Second)
}

func durationInUnits(key string, dst *uint32, low, high, unt time.Duration) Field {
	var dur time.Duration
	fld := Duration(key, &dur, low, high)
	read := fld.read
	fld.read = func(val Value) error {
		if err := read(val); err != nil {
			return err
		}
		if dur%unt != 0 {
			return errors.Errorf("is %s; must be a multiple of %s", val.text, ShortDuration(unt))
		}
		*dst = uint32(dur / unt)
		return nil
	}
	return fld
}

// Decode stores the values of a section in the destinations of the fields, and reports unknown keys, missing keys and
// invalid values as problems.
func (sec *Section) Decode(chk *Checker, flds ...Field) {
	for _, ent := range sec.entries {
		fld, fnd := findField(flds, ent.key)
		nam := sec.Name() + "." + ent.key
		if !fnd {
			chk.Add(ent.position, nam, "unknown key%s", Suggestion(ent.key, fieldKeys(flds)))
			continue
		}
		if err := fld.read(ent.value); err != nil {
			chk.Add(ent.position, nam, "%s", err.Error())
		}
	}
	for _, fld := range flds {
		if fld.required && !sec.Has(fld.key) {
			chk.Add(sec.position, sec.Name()+"."+fld.key, "is missing")
		}
	}
}

func findField(flds []Field, key string) (Field, bool) {
	for _, fld := range flds {
		if fld.key == key {
			return fld, true
		}
	}
	return Field{}, false
}

func fieldKeys(flds []Field) []string {
	var out []string
	for _, fld := range flds {
		out = append(out, fld.key)
	}
	return out
}

func (val Value) requireKind(knd unstable.Kind, expected string) error {
	if val.kind == knd {
		return nil
	}
	return errors.Errorf("must be %s, not %s", expected, kindText(val.kind))
}

func kindText(knd unstable.Kind) string {
	switch knd {
	case unstable.String:
		return "a string"
	case unstable.Integer:
		return "a whole number"
	case unstable.Float:
		return "a float"
	case unstable.Bool:
		return "a boolean"
	case unstable.Array:
		return "an array"
	case unstable.InlineTable:
		return "a table"
	default:
		return "a date or time"
	}
}

// ShortDuration formats a duration without trailing zero units, as 5m instead of 5m0s.
func ShortDuration(dur time.Duration) string {
	txt := dur.String()
	if strings.HasSuffix(txt, "m0s") {
		txt = strings.TrimSuffix(txt, "0s")
	}
	if strings.HasSuffix(txt, "h0m") {
		txt = strings.TrimSuffix(txt, "0m")
	}
	return txt
}

// Suggestion returns "; did you mean NAME?" for the most similar candidate, and an empty string if none is a prefix of the
// name or differs from it in at most a third of the candidate's length.
func Suggestion(nam string, cands []string) string {
	nearest, dist := "", len(nam)+1
	for _, cnd := range cands {
		dst := distance(nam, cnd)
		if 3*dst > len(cnd) && !strings.HasPrefix(nam, cnd) {
			continue
		}
		if dst < dist {
			nearest, dist = cnd, dst
		}
	}
	if nearest == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %s?", nearest)
}

// distance returns the Levenshtein distance of two strings in bytes.
func distance(one, two string) int {
	row := make([]int, len(two)+1)
	for i := range row {
		row[i] = i
	}
	for i := range len(one) {
		prev := row[0]
		row[0] = i + 1
		for j := range len(two) {
			cost := prev
			if one[i] != two[j] {
				cost++
			}
			prev = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(two)]
}
