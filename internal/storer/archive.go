package storer

import (
	"encoding/binary"
	"fmt"

	"go.etcd.io/bbolt"
)

var (
	// bucketPages holds pages of the audit log by number.
	bucketPages = []byte("pages")
	// bucketSubjects is the index of pages by subject. Its keys consist of the
	// subject, a zero byte and the page number.
	bucketSubjects = []byte("subjects")
)

// SavePage stores a page of the audit log with its subjects and syncs it. It is
// idempotent.
func (s *Storer) SavePage(number uint64, subjects []string, body []byte) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		if err := put(tx.Bucket(bucketPages), indexKey(number), body); err != nil {
			return err
		}
		index := tx.Bucket(bucketSubjects)
		for _, subject := range subjects {
			if err := index.Put(subjectKey(subject, number), nil); err != nil {
				return fmt.Errorf("storer: index page: %w", err)
			}
		}
		return nil
	})
}

// Page returns a page, or nil if it is not stored.
func (s *Storer) Page(number uint64) ([]byte, error) {
	var body []byte
	err := s.db.View(func(tx *bbolt.Tx) error {
		key := indexKey(number)
		record := tx.Bucket(bucketPages).Get(key)
		if record == nil {
			return nil
		}
		value, err := verifyChecksum(key, record)
		body = append(body, value...)
		return err
	})
	return body, err
}

// PageCount returns the number of pages stored without a gap, starting with page
// zero.
func (s *Storer) PageCount() (uint64, error) {
	n := uint64(0)
	err := s.db.View(func(tx *bbolt.Tx) error {
		c := tx.Bucket(bucketPages).Cursor()
		for k, _ := c.First(); k != nil && binary.BigEndian.Uint64(k) == n; k, _ = c.Next() {
			n++
		}
		return nil
	})
	return n, err
}

// PagesBySubject returns the numbers of the pages with records of a subject, in
// ascending order.
func (s *Storer) PagesBySubject(subject string) ([]uint64, error) {
	var numbers []uint64
	prefix := subjectKey(subject, 0)
	prefix = prefix[:len(prefix)-8]
	err := s.db.View(func(tx *bbolt.Tx) error {
		c := tx.Bucket(bucketSubjects).Cursor()
		for k, _ := c.Seek(prefix); k != nil && len(k) == len(prefix)+8 && string(k[:len(prefix)]) == string(prefix); k, _ = c.Next() {
			numbers = append(numbers, binary.BigEndian.Uint64(k[len(prefix):]))
		}
		return nil
	})
	return numbers, err
}

func subjectKey(subject string, number uint64) []byte {
	return binary.BigEndian.AppendUint64(append([]byte(subject), 0), number)
}
