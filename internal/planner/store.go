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

// Store is the planner's durable store. It contains the planner's term, its meta state, and the record of each engine.
// Transactions are atomic. In addition, each value has its own checksum to detect later corruption on disk.
type Store struct {
	path     string
	db       *bbolt.DB
	failSave func() error // hook of tests to simulate a full disk
}

// Buckets and keys of the store's file.
var (
	recordsBucket = []byte("records")
	metaBucket    = []byte("meta")
	metaKey       = []byte("meta")
	termKey       = []byte("term")
)

// StoredState is the content of a store when it was opened.
type StoredState struct {
	Term    int64
	Meta    assignment.Meta
	Records []assignment.Record
	Faults  []error // damage found in the file; damaged records are not in Records
}

// fileLockTimeout is how long opening a store waits for the lock of its file.
const fileLockTimeout = time.Second

// A disk may be full or fail temporarily: opening the store is retried for storeOpenTimeout before the planner's start fails.
const (
	storeOpenTimeout       = 30 * time.Second
	storeOpenRetryInterval = 200 * time.Millisecond
)

// ErrStoreInUse reports that another planner has the store open.
var ErrStoreInUse = errors.New("file is locked by another planner")

// DamagedError reports a panic or memory fault on access to a store's file.
type DamagedError struct {
	Path  string
	Fault any // value of the panic
}

// Error returns the store and the fault.
func (e *DamagedError) Error() string { return fmt.Sprintf("store %s is damaged: %v", e.Path, e.Fault) }

// ReplacedError reports that a damaged store was replaced by an empty one.
type ReplacedError struct {
	RenamedTo string // path of the damaged file
	Err       error
}

// Error returns the damage and the path of the damaged file.
func (e *ReplacedError) Error() string {
	return fmt.Sprintf("%v; file renamed to %s and replaced by an empty store", e.Err, e.RenamedTo)
}

// Unwrap returns the damage.
func (e *ReplacedError) Unwrap() error { return e.Err }

// RecordError reports that the record of one engine is damaged.
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

// openWithRetry opens a store, and retries system errors until storeOpenTimeout.
func openWithRetry(path string, log *zap.Logger) (*Store, StoredState, error) {
	deadline := time.Now().Add(storeOpenTimeout)
	for {
		store, stored, err := Open(path)
		if err == nil || !isRetryable(err) || time.Now().After(deadline) {
			return store, stored, err
		}
		log.Warn("store open failed, retrying", zap.Error(err))
		time.Sleep(storeOpenRetryInterval)
	}
}

// isRetryable reports whether opening a store may succeed later. A retry does not help if a directory or permission is missing.
func isRetryable(err error) bool {
	return isSystemError(err) && !errors.Is(err, os.ErrPermission) && !errors.Is(err, os.ErrNotExist)
}

// isSystemError reports whether an error was returned by a system call, for example because the disk is full or failing, or
// because no file descriptor is free. Such an error does not indicate that the content of the file is damaged.
func isSystemError(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno)
}

// Open opens the store at path, or creates it. A file that is damaged as a whole is renamed and replaced by an empty store;
// roles are then taken from the engines' reports. After a system error, the file is left as it is and the error is returned.
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
	renamedPath := fmt.Sprintf("%s.damaged-%d", path, time.Now().Unix())
	if renameErr := os.Rename(path, renamedPath); renameErr != nil {
		return s, stored, errors.Join(err, renameErr)
	}
	replaced := &ReplacedError{RenamedTo: renamedPath, Err: err}
	stored, err = s.open()
	stored.Faults = append(stored.Faults, replaced)
	return s, stored, err
}

// open opens the file and reads its content.
func (s *Store) open() (stored StoredState, err error) {
	// bbolt reads pages from mapped memory without checks, so a damaged page causes a panic or a memory fault. bbolt then
	// still holds its locks, so the database is left open: closing it could block.
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

// openFile opens the file, and creates it if it does not exist.
func (s *Store) openFile() error {
	if err := createStore(s.path); err != nil {
		return err
	}
	if err := checkFileSize(s.path); err != nil {
		return err
	}
	db, err := bbolt.Open(s.path, 0o600, &bbolt.Options{Timeout: fileLockTimeout})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return ErrStoreInUse
	} else if err != nil {
		return err
	}
	s.db = db
	return createBuckets(db)
}

// read reads the content of the store. Damaged records are left out; a damaged term or meta value is an error, as a planner
// must not continue without its term.
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

// readValue decodes the value of a key into target. It leaves target unchanged if the key does not exist.
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

// Save saves records and meta in one transaction, which is on disk when Save returns.
func (s *Store) Save(changes assignment.Persist) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil { // The file was damaged while it was open.
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

// Close closes the store, so that another planner can open it.
func (s *Store) Close() error { return s.db.Close() }
