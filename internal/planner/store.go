package planner

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
	"go.uber.org/zap"

	"sandcourse/internal/planner/assignment"
)

// Store is the planner's durable store: its term, its orders, and the state of each engine's role change. A transaction is
// complete or not there. Each value has a checksum of its own as well, against what a disk does to it later.
type Store struct {
	path     string
	db       *bbolt.DB
	failSave func() error // set by tests, to fail as a full disk does
}

// Buckets and keys of the store's file.
var (
	recordsBucket = []byte("records")
	metaBucket    = []byte("meta")
	metaKey       = []byte("meta")
	termKey       = []byte("term")
)

// StoredState is what a store held when it was opened.
type StoredState struct {
	Term    int64
	Meta    assignment.Meta
	Records []assignment.Record
	Faults  []error // what could not be read and was left out
}

// openTimeout is how long the lock of a store's file is waited for.
const openTimeout = time.Second

// A disk may be full or fail for a while: opening the store is tried again for so long before the planner's start fails.
const (
	storeOpenTimeout       = 30 * time.Second
	storeOpenRetryInterval = 200 * time.Millisecond
)

// ErrStoreInUse says that another planner has the store open.
var ErrStoreInUse = errors.New("another planner has it open")

// DamagedError says that reading or writing a store's file faulted.
type DamagedError struct {
	Path  string
	Fault any // what the access panicked with
}

// Error returns the store and the fault.
func (e *DamagedError) Error() string { return fmt.Sprintf("store %s is damaged: %v", e.Path, e.Fault) }

// ReplacedError says that a damaged store was replaced by an empty one.
type ReplacedError struct {
	SetAside string // where the damaged file is
	Err      error
}

// Error returns the damage and where the damaged file is.
func (e *ReplacedError) Error() string {
	return fmt.Sprintf("%v; set aside as %s and replaced by an empty store", e.Err, e.SetAside)
}

// Unwrap returns the damage.
func (e *ReplacedError) Unwrap() error { return e.Err }

// RecordError says that the record of one engine is damaged.
type RecordError struct {
	Path, Engine string
	Err          error
}

// Error returns the store, the engine, and the damage.
func (e *RecordError) Error() string {
	return fmt.Sprintf("store %s: record of engine %s ignored: %v", e.Path, e.Engine, e.Err)
}

// Unwrap returns the damage.
func (e *RecordError) Unwrap() error { return e.Err }

// openWithRetry opens a store, and tries again for a while if the disk or the machine fails.
func openWithRetry(path string, log *zap.Logger) (*Store, StoredState, error) {
	end := time.Now().Add(storeOpenTimeout)
	for {
		store, stored, err := Open(path)
		if err == nil || !retryable(err) || time.Now().After(end) {
			return store, stored, err
		}
		log.Warn("store open failed, retrying", zap.Error(err))
		time.Sleep(storeOpenRetryInterval)
	}
}

// retryable is whether a store may be opened later. What is not there or not permitted stays so.
func retryable(err error) bool {
	return isSystemError(err) && !errors.Is(err, os.ErrPermission) && !errors.Is(err, os.ErrNotExist)
}

// isSystemError is whether an error is that of a system call, as on a full or failing disk, or without free descriptors. It
// says nothing about the content of the file.
func isSystemError(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno)
}

// Open opens the store at path, or creates it. A file that is damaged as a whole is set aside under another name, and an
// empty one takes its place: engines are asked for their roles then. If the disk or the machine fails, the file stays as it
// is and the error is returned.
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
	if renameErr := os.Rename(path, aside); renameErr != nil {
		return s, stored, errors.Join(err, renameErr)
	}
	replaced := &ReplacedError{SetAside: aside, Err: err}
	stored, err = s.open()
	stored.Faults = append(stored.Faults, replaced)
	return s, stored, err
}

// open opens the file and reads it.
func (s *Store) open() (stored StoredState, err error) {
	// bbolt reads its pages from mapped memory as they are: a damaged one ends in a panic, or a fault. Its
	// locks are not released then, so what it opened is left as it is.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			s.db, err = nil, &DamagedError{Path: s.path, Fault: p}
		}
	}()
	s.db = nil
	if err = s.openFile(); err == nil {
		err = s.db.View(func(tx *bbolt.Tx) error { return s.read(tx, &stored) })
	}
	if err != nil {
		return stored, fmt.Errorf("store %s: %w", s.path, err)
	}
	return stored, nil
}

// openFile opens the file, and creates it if it is not there.
func (s *Store) openFile() error {
	if err := createStore(s.path); err != nil {
		return err
	}
	if err := checkFileSize(s.path); err != nil {
		return err
	}
	db, err := bbolt.Open(s.path, 0o600, &bbolt.Options{Timeout: openTimeout})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return ErrStoreInUse
	} else if err != nil {
		return err
	}
	s.db = db
	return createBuckets(db)
}

// read reads all that the store holds. A damaged record is left out; without its term a planner must not go on.
func (s *Store) read(tx *bbolt.Tx, stored *StoredState) error {
	meta := tx.Bucket(metaBucket)
	if err := readValue(meta, termKey, &stored.Term); err != nil {
		return err
	}
	if err := readValue(meta, metaKey, &stored.Meta); err != nil {
		return err
	}
	return tx.Bucket(recordsBucket).ForEach(func(engine, data []byte) error {
		var record assignment.Record
		if err := decodeWithChecksum(data, &record); err != nil {
			stored.Faults = append(stored.Faults, &RecordError{Path: s.path, Engine: string(engine), Err: err})
			return nil
		}
		stored.Records = append(stored.Records, record)
		return nil
	})
}

// readValue reads the value of a key, if there is one.
func readValue(bucket *bbolt.Bucket, key []byte, target any) error {
	data := bucket.Get(key)
	if data == nil {
		return nil
	}
	if err := decodeWithChecksum(data, target); err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	return nil
}

// SaveTerm saves the term of this planner.
func (s *Store) SaveTerm(term int64) error {
	return s.db.Update(func(tx *bbolt.Tx) error { return putValue(tx, metaBucket, termKey, term) })
}

// Save saves records and meta together. They are on disk when it returns.
func (s *Store) Save(changes assignment.Persist) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil { // the file was damaged while it was open
			err = &DamagedError{Path: s.path, Fault: p}
		}
	}()
	if s.failSave != nil {
		if err := s.failSave(); err != nil {
			return err
		}
	}
	return s.db.Update(func(tx *bbolt.Tx) error {
		if err := putValue(tx, metaBucket, metaKey, changes.Meta); err != nil {
			return err
		}
		for _, record := range changes.Records {
			if err := putValue(tx, recordsBucket, []byte(record.Engine), record); err != nil {
				return err
			}
		}
		return nil
	})
}

func putValue(tx *bbolt.Tx, bucket, key []byte, value any) error {
	data, err := encodeWithChecksum(value)
	if err != nil {
		return err
	}
	return tx.Bucket(bucket).Put(key, data)
}

// Close closes the store. Another planner can open it then.
func (s *Store) Close() error { return s.db.Close() }
