package ingress

import "bytes"

// Scanner finds the end of the head of a request, which may be split over several reads. It ends a head where net/http does, at the
// first blank line behind one that is not.
type Scanner struct {
	length int  // of the current line
	last   byte // of the current line
	begun  bool // a line that is not blank was found
}

// End returns the number of bytes up to the end of the blank line after the head, or 0 if dat ends before it.
func (scn *Scanner) End(dat []byte) int {
	pos := 0
	for {
		idx := bytes.IndexByte(dat[pos:], '\n')
		if idx < 0 {
			scn.add(dat[pos:])
			return 0
		}
		scn.add(dat[pos : pos+idx])
		blank := scn.length == 0 || scn.length == 1 && scn.last == '\r'
		pos += idx + 1
		scn.length = 0
		if blank && scn.begun {
			*scn = Scanner{}
			return pos
		}
		scn.begun = scn.begun || !blank
	}
}

func (scn *Scanner) add(dat []byte) {
	if len(dat) > 0 {
		scn.length += len(dat)
		scn.last = dat[len(dat)-1]
	}
}

// Lines returns the number of lines that end in dat.
func Lines(dat []byte) int { return bytes.Count(dat, []byte{'\n'}) }
