// Package storer persists the state of a control host: its term and vote, the
// replicated log and the last snapshot.
//
// The state is in one bbolt file, which is synced after each transaction. Every
// record has a checksum over its key and value, and the file names the host that
// it belongs to. A record with a wrong checksum, or a file of another host, is an
// error and is never read as state.
//
// # Usage
//
//	s, err := storer.Open(dir, "control-1")
//	loaded, err := s.Load()
//	err = s.Save(output)   // returns after the sync
package storer

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"

	"github.com/shallotstage/shallotstage/pkg/elector"
)

const (
	fileName      = "control.db"
	fileMode      = 0o600
	dirMode       = 0o700
	lockTimeout   = 2 * time.Second
	checksumBytes = 8
	instanceBytes = 8
)

var (
	bucketMeta  = []byte("meta")
	bucketLog   = []byte("log")
	keyOwner    = []byte("owner")
	keyHard     = []byte("hard_state")
	keySnapshot = []byte("snapshot")
	// keyInstance holds the unique ID of the data directory.
	keyInstance = []byte("instance")
	// keyMember holds the member ID of the host in the consensus group.
	keyMember = []byte("member")
)

// Storer is an open data directory.
type Storer struct {
	db         *bbolt.DB
	instanceID string
	created    bool
}

// InstanceID returns the unique ID of the data directory, which is generated when
// the directory is created.
func (s *Storer) InstanceID() string { return s.instanceID }

// IsNew reports whether this Open created the data directory.
func (s *Storer) IsNew() bool { return s.created }

// Loaded is the state read at the start.
type Loaded struct {
	Hard     elector.HardState
	Snapshot elector.Snapshot
	Entries  []elector.Entry
}

// ChecksumError means that a record is corrupt.
type ChecksumError struct {
	Key string
}

// Error implements error.
func (e *ChecksumError) Error() string {
	return fmt.Sprintf("storer: record %s is corrupt: checksum mismatch; replace this control host with a new one with an empty data folder", e.Key)
}

// OwnerError means that the data directory belongs to another host.
type OwnerError struct {
	Owner, ID string
}

// Error implements error.
func (e *OwnerError) Error() string {
	return fmt.Sprintf("storer: data folder belongs to host %q, not to %q; use a separate folder for each host", e.Owner, e.ID)
}

// Open opens the data directory of a host and creates it if necessary.
func Open(dir, id string) (*Storer, error) {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, fmt.Errorf("storer: create data folder: %w", err)
	}
	db, err := bbolt.Open(filepath.Join(dir, fileName), fileMode, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return nil, fmt.Errorf("storer: open data folder %s: %w", dir, err)
	}
	s := &Storer{db: db}
	if err := s.checkOwner(id); err != nil {
		_ = db.Close()
		return nil, err
	}
	return s, nil
}

// checkOwner writes the owner to a new file, or checks it in an existing one.
func (s *Storer) checkOwner(id string) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(bucketMeta)
		if err != nil {
			return fmt.Errorf("storer: create bucket: %w", err)
		}
		for _, name := range [][]byte{bucketLog, bucketPages, bucketSubjects} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return fmt.Errorf("storer: create bucket: %w", err)
			}
		}
		owner := meta.Get(keyOwner)
		if owner == nil {
			return s.initialise(meta, id)
		}
		name, err := verifyChecksum(keyOwner, owner)
		if err != nil {
			return err
		}
		if string(name) != id {
			return &OwnerError{Owner: string(name), ID: id}
		}
		record := meta.Get(keyInstance)
		if record == nil {
			// The data directory was created by a version without instance IDs.
			return s.generateInstance(meta)
		}
		instanceID, err := verifyChecksum(keyInstance, record)
		s.instanceID = string(instanceID)
		return err
	})
}

// initialise writes the owner and the instance ID of a new data directory.
func (s *Storer) initialise(meta *bbolt.Bucket, id string) error {
	s.created = true
	if err := s.generateInstance(meta); err != nil {
		return err
	}
	return put(meta, keyOwner, []byte(id))
}

// generateInstance generates and stores the instance ID of the data directory.
func (s *Storer) generateInstance(meta *bbolt.Bucket) error {
	var raw [instanceBytes]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return fmt.Errorf("storer: read random bytes: %w", err)
	}
	s.instanceID = hex.EncodeToString(raw[:])
	return put(meta, keyInstance, []byte(s.instanceID))
}

// MemberID returns the member ID of the host in the consensus group, or an empty
// string before SetMemberID.
func (s *Storer) MemberID() (string, error) {
	var member string
	err := s.db.View(func(tx *bbolt.Tx) error { return get(tx.Bucket(bucketMeta), keyMember, &member) })
	return member, err
}

// SetMemberID stores the member ID and syncs it.
func (s *Storer) SetMemberID(member string) error {
	return s.db.Update(func(tx *bbolt.Tx) error { return putJSON(tx.Bucket(bucketMeta), keyMember, member) })
}

// Close closes the file.
func (s *Storer) Close() error { return s.db.Close() }

// Load reads the whole state.
func (s *Storer) Load() (Loaded, error) {
	var l Loaded
	err := s.db.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		if err := get(meta, keyHard, &l.Hard); err != nil {
			return err
		}
		if err := get(meta, keySnapshot, &l.Snapshot); err != nil {
			return err
		}
		return tx.Bucket(bucketLog).ForEach(func(k, v []byte) error {
			body, err := verifyChecksum(k, v)
			if err != nil {
				return err
			}
			var e elector.Entry
			if err := json.Unmarshal(body, &e); err != nil {
				return fmt.Errorf("storer: decode entry: %w", err)
			}
			if e.Index > l.Snapshot.Index {
				l.Entries = append(l.Entries, e)
			}
			return nil
		})
	})
	return l, err
}

// Save stores what an output of the elector requires and syncs it.
func (s *Storer) Save(out elector.Output) error {
	if !out.NeedsStorage() {
		return nil
	}
	return s.db.Update(func(tx *bbolt.Tx) error {
		if out.Compaction != nil {
			if err := saveSnapshot(tx, *out.Compaction, false); err != nil {
				return err
			}
		}
		if out.Snapshot != nil {
			if err := saveSnapshot(tx, *out.Snapshot, true); err != nil {
				return err
			}
		}
		if out.HardState != nil {
			if err := putJSON(tx.Bucket(bucketMeta), keyHard, out.HardState); err != nil {
				return err
			}
		}
		return saveEntries(tx.Bucket(bucketLog), out.Entries)
	})
}

// SaveSnapshot stores a snapshot made by this host and deletes the log entries
// that it replaces.
func (s *Storer) SaveSnapshot(snapshot elector.Snapshot) error {
	return s.db.Update(func(tx *bbolt.Tx) error { return saveSnapshot(tx, snapshot, false) })
}

func saveSnapshot(tx *bbolt.Tx, snapshot elector.Snapshot, dropAll bool) error {
	if err := putJSON(tx.Bucket(bucketMeta), keySnapshot, snapshot); err != nil {
		return err
	}
	c := tx.Bucket(bucketLog).Cursor()
	for k, _ := c.First(); k != nil; k, _ = c.Next() {
		if !dropAll && binary.BigEndian.Uint64(k) > snapshot.Index {
			return nil
		}
		if err := c.Delete(); err != nil {
			return fmt.Errorf("storer: delete entry: %w", err)
		}
	}
	return nil
}

// saveEntries replaces the log from the first entry's index on.
func saveEntries(b *bbolt.Bucket, entries []elector.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	c := b.Cursor()
	for k, _ := c.Seek(indexKey(entries[0].Index)); k != nil; k, _ = c.Next() {
		if err := c.Delete(); err != nil {
			return fmt.Errorf("storer: delete entry: %w", err)
		}
	}
	for _, e := range entries {
		if err := putJSON(b, indexKey(e.Index), e); err != nil {
			return err
		}
	}
	return nil
}

func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

func putJSON(b *bbolt.Bucket, key []byte, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("storer: encode record: %w", err)
	}
	return put(b, key, body)
}

func put(b *bbolt.Bucket, key, body []byte) error {
	if err := b.Put(key, addChecksum(key, body)); err != nil {
		return fmt.Errorf("storer: put record: %w", err)
	}
	return nil
}

func get(b *bbolt.Bucket, key []byte, v any) error {
	record := b.Get(key)
	if record == nil {
		return nil
	}
	body, err := verifyChecksum(key, record)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, v); err != nil {
		return fmt.Errorf("storer: decode record: %w", err)
	}
	return nil
}

// addChecksum prepends a checksum over key and value to the value.
func addChecksum(key, body []byte) []byte {
	record := binary.BigEndian.AppendUint64(make([]byte, 0, checksumBytes+len(body)), checksum(key, body))
	return append(record, body...)
}

func verifyChecksum(key, record []byte) ([]byte, error) {
	if len(record) < checksumBytes {
		return nil, &ChecksumError{Key: fmt.Sprintf("%q", key)}
	}
	body := record[checksumBytes:]
	if binary.BigEndian.Uint64(record) != checksum(key, body) {
		return nil, &ChecksumError{Key: fmt.Sprintf("%q", key)}
	}
	return body, nil
}

func checksum(key, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.Write(key)
	_, _ = d.Write(body)
	return d.Sum64()
}
