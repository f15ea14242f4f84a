// Package rawjson splits JSON text into its parts without decoding them.
//
// encoding/json decodes a document as a whole or not at all: one value that is nested too
// deeply makes all others unreadable. This package finds only where each part ends. It uses
// constant memory whatever the nesting, and it accepts parts that are not valid JSON, such as
// a number without a limit, as long as their brackets and strings are closed. The caller
// decodes each part on its own.
package rawjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"unicode/utf8"
)

// errIncomplete is the error for text that ends within a value.
var errIncomplete = errors.New("unexpected end of JSON text")

// Object calls field with the name and the text of each field of an object, in their order.
// The text null has no fields. An error of field ends the call.
func Object(text []byte, field func(name string, value []byte) error) error {
	return list(text, '{', '}', func(s *scanner) error {
		name, err := s.name()
		if err != nil {
			return err
		}
		value, err := s.value()
		if err != nil {
			return err
		}
		return field(name, value)
	})
}

// Array calls element with the text of each element of an array, in their order. The text
// null has no elements. An error of element ends the call.
func Array(text []byte, element func(value []byte) error) error {
	return list(text, '[', ']', func(s *scanner) error {
		value, err := s.value()
		if err != nil {
			return err
		}
		return element(value)
	})
}

// list splits an object or an array. next consumes one field or element.
func list(text []byte, opening, closing byte, next func(*scanner) error) error {
	if bytes.Equal(bytes.TrimSpace(text), []byte("null")) {
		return nil
	}
	s := &scanner{text: text}
	if err := s.expect(opening); err != nil {
		return err
	}
	if s.peek() == closing {
		s.at++
		return s.end()
	}
	for {
		if err := next(s); err != nil {
			return err
		}
		if s.peek() == closing {
			s.at++
			return s.end()
		}
		if err := s.expect(','); err != nil {
			return err
		}
	}
}

// scanner is a position in a text.
type scanner struct {
	text []byte
	at   int
}

// peek skips white space and returns the next byte, 0 at the end of the text.
func (s *scanner) peek() byte {
	for ; s.at < len(s.text); s.at++ {
		switch c := s.text[s.at]; c {
		case ' ', '\t', '\n', '\r':
		default:
			return c
		}
	}
	return 0
}

// expect skips white space and the byte c.
func (s *scanner) expect(c byte) error {
	found := s.peek()
	switch {
	case s.at == len(s.text):
		return errIncomplete
	case found != c:
		return fmt.Errorf("%q at offset %d instead of %q", found, s.at, c)
	}
	s.at++
	return nil
}

// end returns an error if anything but white space is left.
func (s *scanner) end() error {
	if found := s.peek(); s.at < len(s.text) {
		return fmt.Errorf("%q at offset %d after the end", found, s.at)
	}
	return nil
}

// name returns the name of a field and skips the colon after it.
func (s *scanner) name() (string, error) {
	if found := s.peek(); s.at < len(s.text) && found != '"' {
		return "", fmt.Errorf("%q at offset %d instead of a name", found, s.at)
	}
	quoted, err := s.value()
	if err != nil {
		return "", err
	}
	if isPlain(quoted) {
		return string(quoted[1 : len(quoted)-1]), s.expect(':')
	}
	var name string
	if err := json.Unmarshal(quoted, &name); err != nil {
		return "", fmt.Errorf("name of a field: %w", err)
	}
	return name, s.expect(':')
}

// isPlain reports whether a string in quotes is its own decoded form.
func isPlain(quoted []byte) bool { return !bytes.ContainsRune(quoted, '\\') && utf8.Valid(quoted) }

// value returns the text of the next value.
func (s *scanner) value() ([]byte, error) {
	first := s.peek()
	from := s.at
	var err error
	switch first {
	case '"':
		err = s.skipString()
	case '{', '[':
		err = s.skipNested()
	default:
		s.skipScalar()
	}
	if err != nil {
		return nil, err
	}
	if s.at == len(s.text) && s.at == from {
		return nil, errIncomplete
	}
	if s.at == from {
		return nil, fmt.Errorf("%q at offset %d instead of a value", first, s.at)
	}
	return s.text[from:s.at], nil
}

// skipString skips a string. Escapes matter only where they hide a quote.
func (s *scanner) skipString() error {
	for s.at++; s.at < len(s.text); s.at++ {
		switch s.text[s.at] {
		case '\\':
			s.at++
		case '"':
			s.at++
			return nil
		}
	}
	s.at = len(s.text)
	return errIncomplete
}

// skipNested skips an object or an array with all that it contains.
func (s *scanner) skipNested() error {
	for depth := 0; s.at < len(s.text); {
		switch s.text[s.at] {
		case '"':
			if err := s.skipString(); err != nil {
				return err
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		s.at++
		if depth == 0 {
			return nil
		}
	}
	return errIncomplete
}

// skipScalar skips a number or a literal: all bytes up to the next delimiter.
func (s *scanner) skipScalar() {
	delimiter := bytes.IndexAny(s.text[s.at:], ",]}: \t\n\r")
	if delimiter < 0 {
		s.at = len(s.text)
		return
	}
	s.at += delimiter
}
