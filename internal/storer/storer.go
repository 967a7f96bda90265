// Package storer keeps the durable state of a control host: its term and vote,
// the log of agreed entries and the last snapshot.
//
// The state lives in one file of a storage library that syncs each
// transaction. Every record carries a checksum over its key and value, and the
// file names the host it belongs to. A record that fails its checksum, or a
// file of another host, is an error and never read as state.
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
	bucketMeta = []byte("meta")
	bucketLog  = []byte("log")
	keyOwner   = []byte("owner")
	keyHard    = []byte("hard_state")
	keySnap    = []byte("snapshot")
	// keyInstance holds the identity of the folder.
	keyInstance = []byte("instance")
	// keyMember holds the name under which the host takes part in the
	// agreement.
	keyMember = []byte("member")
)

// Storer is an open data folder.
type Storer struct {
	db       *bbolt.DB
	instance string
	isNew    bool
}

// Instance returns the identity of the folder, made when the folder was.
func (s *Storer) Instance() string { return s.instance }

// IsNew reports whether the folder was made by this Open.
func (s *Storer) IsNew() bool { return s.isNew }

// Loaded is the state found at the start.
type Loaded struct {
	Hard     elector.HardState
	Snapshot elector.Snapshot
	Entries  []elector.Entry
}

// ChecksumError means that a record is damaged.
type ChecksumError struct {
	Key string
}

// Error implements error.
func (e *ChecksumError) Error() string {
	return fmt.Sprintf("storer: record %s is damaged: its checksum does not fit; replace this control host by a new one with an empty data folder", e.Key)
}

// OwnerError means that the data folder belongs to another host.
type OwnerError struct {
	Owner, ID string
}

// Error implements error.
func (e *OwnerError) Error() string {
	return fmt.Sprintf("storer: data folder belongs to host %q, not to %q; give each host a folder of its own", e.Owner, e.ID)
}

// Open opens or creates the data folder of a host.
func Open(dir, id string) (*Storer, error) {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, fmt.Errorf("storer: create data folder: %w", err)
	}
	db, err := bbolt.Open(filepath.Join(dir, fileName), fileMode, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return nil, fmt.Errorf("storer: open data folder %s: %w", dir, err)
	}
	s := &Storer{db: db}
	if err := s.claim(id); err != nil {
		_ = db.Close()
		return nil, err
	}
	return s, nil
}

// claim writes the owner into a new file and checks it in an old one.
func (s *Storer) claim(id string) error {
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
			return s.found(meta, id)
		}
		name, err := unseal(keyOwner, owner)
		if err != nil {
			return err
		}
		if string(name) != id {
			return &OwnerError{Owner: string(name), ID: id}
		}
		sealed := meta.Get(keyInstance)
		if sealed == nil {
			// The folder is of a version without identities.
			return s.identify(meta)
		}
		instance, err := unseal(keyInstance, sealed)
		s.instance = string(instance)
		return err
	})
}

// found writes the owner and the identity of a new folder.
func (s *Storer) found(meta *bbolt.Bucket, id string) error {
	s.isNew = true
	if err := s.identify(meta); err != nil {
		return err
	}
	return put(meta, keyOwner, []byte(id))
}

// identify gives the folder an identity.
func (s *Storer) identify(meta *bbolt.Bucket) error {
	var raw [instanceBytes]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return fmt.Errorf("storer: read random bytes: %w", err)
	}
	s.instance = hex.EncodeToString(raw[:])
	return put(meta, keyInstance, []byte(s.instance))
}

// Member returns the name under which the host takes part in the agreement, or
// an empty one before SetMember.
func (s *Storer) Member() (string, error) {
	var member string
	err := s.db.View(func(tx *bbolt.Tx) error { return get(tx.Bucket(bucketMeta), keyMember, &member) })
	return member, err
}

// SetMember stores the name and syncs it.
func (s *Storer) SetMember(member string) error {
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
		if err := get(meta, keySnap, &l.Snapshot); err != nil {
			return err
		}
		return tx.Bucket(bucketLog).ForEach(func(k, v []byte) error {
			body, err := unseal(k, v)
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

// Save stores what an output of the elector asks for, and syncs it.
func (s *Storer) Save(out elector.Output) error {
	if out.HardState == nil && out.Snapshot == nil && len(out.Entries) == 0 {
		return nil
	}
	return s.db.Update(func(tx *bbolt.Tx) error {
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

// SaveSnapshot stores a snapshot of this host's own making and drops the
// entries it replaces.
func (s *Storer) SaveSnapshot(snapshot elector.Snapshot) error {
	return s.db.Update(func(tx *bbolt.Tx) error { return saveSnapshot(tx, snapshot, false) })
}

func saveSnapshot(tx *bbolt.Tx, snapshot elector.Snapshot, all bool) error {
	if err := putJSON(tx.Bucket(bucketMeta), keySnap, snapshot); err != nil {
		return err
	}
	c := tx.Bucket(bucketLog).Cursor()
	for k, _ := c.First(); k != nil; k, _ = c.Next() {
		if !all && binary.BigEndian.Uint64(k) > snapshot.Index {
			return nil
		}
		if err := c.Delete(); err != nil {
			return fmt.Errorf("storer: drop entry: %w", err)
		}
	}
	return nil
}

// saveEntries replaces everything at and behind the first entry's index.
func saveEntries(b *bbolt.Bucket, entries []elector.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	c := b.Cursor()
	for k, _ := c.Seek(indexKey(entries[0].Index)); k != nil; k, _ = c.Next() {
		if err := c.Delete(); err != nil {
			return fmt.Errorf("storer: drop entry: %w", err)
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
	if err := b.Put(key, seal(key, body)); err != nil {
		return fmt.Errorf("storer: put record: %w", err)
	}
	return nil
}

func get(b *bbolt.Bucket, key []byte, v any) error {
	sealed := b.Get(key)
	if sealed == nil {
		return nil
	}
	body, err := unseal(key, sealed)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, v); err != nil {
		return fmt.Errorf("storer: decode record: %w", err)
	}
	return nil
}

// seal puts a checksum over key and value before the value.
func seal(key, body []byte) []byte {
	sealed := binary.BigEndian.AppendUint64(make([]byte, 0, checksumBytes+len(body)), checksum(key, body))
	return append(sealed, body...)
}

func unseal(key, sealed []byte) ([]byte, error) {
	if len(sealed) < checksumBytes {
		return nil, &ChecksumError{Key: fmt.Sprintf("%q", key)}
	}
	body := sealed[checksumBytes:]
	if binary.BigEndian.Uint64(sealed) != checksum(key, body) {
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
