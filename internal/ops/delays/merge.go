package delays

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// readBuffer is the size of a source's buffer, in bytes. A longer line is damaged.
	readBuffer = 1 << 20
	// eventKey is what each log line has and no other line.
	eventKey = `"event":`
)

// Damage tells of the lines of a source that could not be read.
type Damage struct {
	Source string
	Lines  int
	// First is the number of the first such line, from 1.
	First int
}

// Source is the log of one host, or of several in the order of their times. Lines may
// have text before the JSON object, such as a time or a host's name.
type Source struct {
	name   string
	reader *bufio.Reader
	number int
	damage Damage
	next   Line
	valid  bool
	err    error
}

// NewSource returns a source that reads from r. Its name is used in reports.
func NewSource(name string, r io.Reader) *Source {
	return &Source{name: name, reader: bufio.NewReaderSize(r, readBuffer), damage: Damage{Source: name}}
}

// Damage returns what could not be read so far.
func (s *Source) Damage() Damage { return s.damage }

// Err returns the error that ended the source, nil if it was read to its end.
func (s *Source) Err() error {
	if errors.Is(s.err, io.EOF) {
		return nil
	}
	return s.err
}

// advance reads the next log line. Lines without an event are no log lines.
func (s *Source) advance() {
	s.valid = false
	for s.err == nil {
		text, err := s.readLine()
		if err != nil {
			s.err = err
		}
		begin := bytes.IndexByte(text, '{')
		if begin < 0 || !bytes.Contains(text[begin:], []byte(eventKey)) {
			continue
		}
		s.next = Line{}
		if json.Unmarshal(text[begin:], &s.next) != nil {
			s.countDamage()
			continue
		}
		s.valid = true
		return
	}
}

// readLine returns the next line, or nothing if it is longer than the buffer.
func (s *Source) readLine() ([]byte, error) {
	s.number++
	text, err := s.reader.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return text, err
	}
	s.countDamage()
	for errors.Is(err, bufio.ErrBufferFull) {
		_, err = s.reader.ReadSlice('\n')
	}
	return nil, err
}

func (s *Source) countDamage() {
	s.damage.Lines++
	if s.damage.First == 0 {
		s.damage.First = s.number
	}
}

// Merge calls add with the lines of all sources in the order of their times. Each source
// is in that order itself.
func Merge(sources []*Source, add func(Line)) {
	for _, s := range sources {
		s.advance()
	}
	for {
		first := oldest(sources)
		if first == nil {
			return
		}
		add(first.next)
		first.advance()
	}
}

// oldest returns the source whose next line is the oldest, nil if there is none.
func oldest(sources []*Source) *Source {
	var first *Source
	var at time.Time
	for _, s := range sources {
		if s.valid && (first == nil || s.next.Time.Before(at)) {
			first, at = s, s.next.Time
		}
	}
	return first
}
