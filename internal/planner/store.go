package planner

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"sandcourse/internal/planner/assignment"
)

// Store keeps the planner's intent: its term, its orders, and where each engine's role stands. A transaction
// is whole or not there; each value has a checksum of its own as well, for what a disk does to it later.
type Store struct {
	path     string
	db       *bbolt.DB
	failSave func() error // a test's full disk
}

var (
	recordsBucket = []byte("records")
	metaBucket    = []byte("meta")
	metaKey       = []byte("meta")
	termKey       = []byte("term")
)

// ErrStoreInUse says that another planner has the store open.
var ErrStoreInUse = errors.New("another planner has it open")

// StoredState is what a store held.
type StoredState struct {
	Term    int64
	Meta    assignment.Meta
	Records []assignment.Record
	Faults  []string // what could not be read, and was left out
}

// Open opens the store at path, or makes it. A file that is damaged as a whole is put beside under another
// name, and an empty one takes its place: engines are asked for their roles then. Where the disk or the machine fails, the
// file stays as it is, and the error is told.
func Open(path string) (*Store, StoredState, error) {
	s := &Store{path: path}
	stored, err := s.open()
	if err == nil {
		return s, stored, nil
	}
	if s.db != nil {
		s.db.Close()
	}
	if errors.Is(err, ErrStoreInUse) || isSystemError(err) {
		return s, stored, err
	}
	aside := fmt.Sprintf("%s.damaged-%d", path, time.Now().Unix())
	if e := os.Rename(path, aside); e != nil {
		return s, stored, errors.Join(err, e)
	}
	why := fmt.Sprintf("store %s: %v; it is kept as %s, and a new one begun", path, err, aside)
	stored, err = s.open()
	stored.Faults = append(stored.Faults, why)
	return s, stored, err
}

// isSystemError is whether an error is that of a system call, as on a full or failing disk, or where descriptors have run
// out. It says nothing of what the file holds.
func isSystemError(err error) bool {
	var no syscall.Errno
	return errors.As(err, &no)
}

// newStoreSuffix is of the name under which a new store is made. It gets its own name once it is whole.
const newStoreSuffix = ".new"

// createStore makes an empty store where there is none. A start that fails in the middle leaves nothing under the store's name.
func createStore(path string) error {
	if _, err := os.Stat(path); !errors.Is(err, os.ErrNotExist) {
		return err
	}
	newPath := path + newStoreSuffix
	if err := os.Remove(newPath); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	db, err := bbolt.Open(newPath, 0o600, &bbolt.Options{Timeout: time.Second})
	if err == nil {
		err = errors.Join(createBuckets(db), db.Close())
	}
	if err != nil {
		os.Remove(newPath)
		return err
	}
	defer os.Remove(newPath)
	// A link, and not a new name: another planner may have made the store meanwhile, and have it open.
	if err := os.Link(newPath, path); !errors.Is(err, os.ErrExist) {
		return err
	}
	return nil
}

func createBuckets(db *bbolt.DB) error {
	return db.Update(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{recordsBucket, metaBucket} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		return nil
	})
}

func (s *Store) open() (stored StoredState, err error) {
	// bbolt reads its pages from mapped memory as they are: a damaged one ends in a panic, or a fault. Its
	// locks are not given back then, so what it opened is left as it is.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			s.db, err = nil, fmt.Errorf("store %s is damaged: %v", s.path, p)
		}
	}()
	s.db = nil
	if err := createStore(s.path); err != nil {
		return stored, fmt.Errorf("store %s: %w", s.path, err)
	}
	if err := checkFileSize(s.path); err != nil {
		return stored, fmt.Errorf("store %s: %w", s.path, err)
	}
	db, err := bbolt.Open(s.path, 0o600, &bbolt.Options{Timeout: time.Second})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return stored, fmt.Errorf("store %s: %w", s.path, ErrStoreInUse)
	} else if err != nil {
		return stored, fmt.Errorf("store %s: %w", s.path, err)
	}
	s.db = db
	if err := createBuckets(db); err != nil {
		return stored, fmt.Errorf("store %s: %w", s.path, err)
	}
	err = db.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		for _, v := range []struct {
			key  []byte
			into any
		}{{termKey, &stored.Term}, {metaKey, &stored.Meta}} {
			if data := meta.Get(v.key); data != nil {
				if err := decodeWithChecksum(data, v.into); err != nil {
					return fmt.Errorf("%s: %w", v.key, err) // without a term it must not go on
				}
			}
		}
		return tx.Bucket(recordsBucket).ForEach(func(key, data []byte) error {
			var r assignment.Record
			if err := decodeWithChecksum(data, &r); err != nil {
				stored.Faults = append(stored.Faults,
					fmt.Sprintf("store %s: engine %s: %v; it is asked for its role", s.path, key, err))
				return nil
			}
			stored.Records = append(stored.Records, r)
			return nil
		})
	})
	if err != nil {
		return stored, fmt.Errorf("store %s: %w", s.path, err)
	}
	return stored, nil
}

// checkFileSize is whether a store's file is as long as its newest page table says; a shorter one would fault
// when it is read. The layout is bbolt's own: two pages, each with a header of 16 bytes and a meta record.
func checkFileSize(path string) error {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	} else if err != nil {
		return err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return err
	}
	if info.Size() == 0 {
		return errors.New("it is empty")
	}
	const magic, header, meta = 0xED0CDAED, 16, 64
	var pages, size uint64
	for _, at := range []int64{0, int64(os.Getpagesize())} {
		row := make([]byte, header+meta)
		if _, err := f.ReadAt(row, at); err != nil {
			continue
		}
		m := row[header:]
		if binary.NativeEndian.Uint32(m) == magic {
			size = uint64(binary.NativeEndian.Uint32(m[8:]))
			pages = max(pages, binary.NativeEndian.Uint64(m[40:]))
		}
	}
	if pages > 1<<32 || size > 1<<20 || pages*size > uint64(info.Size()) {
		return fmt.Errorf("it has %d bytes, and %d pages of %d are written of", info.Size(), pages, size)
	}
	return nil
}

// encodeWithChecksum puts a checksum before a value.
func encodeWithChecksum(v any) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	return append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(data)), data...), nil
}

func decodeWithChecksum(data []byte, into any) error {
	if len(data) < 8 || binary.BigEndian.Uint64(data) != xxhash.Sum64(data[8:]) {
		return errors.New("its checksum does not fit")
	}
	return json.Unmarshal(data[8:], into)
}

// SaveTerm keeps the term of this life.
func (s *Store) SaveTerm(term int64) error {
	data, err := encodeWithChecksum(term)
	if err != nil {
		return err
	}
	return s.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(metaBucket).Put(termKey, data) })
}

// Save keeps records and meta together, on disk when it returns.
func (s *Store) Save(k assignment.Persist) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil { // the file was damaged under it
			err = fmt.Errorf("store %s is damaged: %v", s.path, p)
		}
	}()
	if s.failSave != nil {
		if err := s.failSave(); err != nil {
			return err
		}
	}
	return s.db.Update(func(tx *bbolt.Tx) error {
		data, err := encodeWithChecksum(k.Meta)
		if err != nil {
			return err
		}
		if err := tx.Bucket(metaBucket).Put(metaKey, data); err != nil {
			return err
		}
		for _, r := range k.Records {
			if data, err = encodeWithChecksum(r); err != nil {
				return err
			}
			if err := tx.Bucket(recordsBucket).Put([]byte(r.Engine), data); err != nil {
				return err
			}
		}
		return nil
	})
}

// Close gives the store free.
func (s *Store) Close() error { return s.db.Close() }
