package chunk

import "io"

// Fill reads until buf is full or the reader fails; unlike io.ReadFull it distinguishes io.EOF from the
// io.ErrUnexpectedEOF of a truncated body.
func Fill(rdr io.Reader, buf []byte) (int, error) {
	num := 0
	for num < len(buf) {
		got, err := rdr.Read(buf[num:])
		num += got
		if err != nil {
			return num, err
		}
	}
	return num, nil
}
