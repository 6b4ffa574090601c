package planner

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
)

// newStoreSuffix ends the name under which a new store is made. It gets its own name once it is complete.
const newStoreSuffix = ".new"

// checksumBytes is the length of the checksum before each value.
const checksumBytes = 8

// The layout of a bbolt file, as far as checkFileSize reads it: two pages, each with a header and a meta record.
const (
	boltMagic       = 0xED0CDAED
	boltHeaderBytes = 16
	boltMetaBytes   = 64
	boltPageSizeAt  = 8  // in the meta record
	boltPageCountAt = 40 // in the meta record
	maxBoltPages    = 1 << 32
	maxBoltPageSize = 1 << 20
)

// Why a store's content is not usable.
var (
	ErrEmptyStore = errors.New("it is empty")
	ErrChecksum   = errors.New("its checksum does not fit")
)

// TruncatedError says that a store's file is shorter than its newest page table says.
type TruncatedError struct {
	Bytes           int64
	Pages, PageSize uint64
}

// Error returns the file's size and what was written to it.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("it has %d bytes, and %d pages of %d are written of", e.Bytes, e.Pages, e.PageSize)
}

// createStore creates an empty store if there is none. A start that fails before it is complete leaves nothing under the
// store's name.
func createStore(path string) error {
	if _, err := os.Stat(path); !errors.Is(err, os.ErrNotExist) {
		return err
	}
	newPath := path + newStoreSuffix
	if err := os.Remove(newPath); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	db, err := bbolt.Open(newPath, 0o600, &bbolt.Options{Timeout: openTimeout})
	if err == nil {
		err = errors.Join(createBuckets(db), db.Close())
	}
	if err != nil {
		os.Remove(newPath)
		return err
	}
	defer os.Remove(newPath)
	// A link, and not a rename: another planner may have made the store meanwhile, and have it open.
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

// checkFileSize checks that a store's file is as long as its newest page table says; a shorter one would fault when it is
// read.
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
		return ErrEmptyStore
	}
	pages, pageSize := readPageTable(f)
	if pages > maxBoltPages || pageSize > maxBoltPageSize || pages*pageSize > uint64(info.Size()) {
		return &TruncatedError{Bytes: info.Size(), Pages: pages, PageSize: pageSize}
	}
	return nil
}

// readPageTable returns how many pages are written, and their size, by the two meta records; 0 where neither can be read.
func readPageTable(f *os.File) (pages, pageSize uint64) {
	for _, offset := range []int64{0, int64(os.Getpagesize())} {
		page := make([]byte, boltHeaderBytes+boltMetaBytes)
		if _, err := f.ReadAt(page, offset); err != nil {
			continue
		}
		meta := page[boltHeaderBytes:]
		if binary.NativeEndian.Uint32(meta) == boltMagic {
			pageSize = uint64(binary.NativeEndian.Uint32(meta[boltPageSizeAt:]))
			pages = max(pages, binary.NativeEndian.Uint64(meta[boltPageCountAt:]))
		}
	}
	return pages, pageSize
}

// encodeWithChecksum is a value as it is stored: a checksum and its JSON.
func encodeWithChecksum(value any) ([]byte, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	return append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(data)), data...), nil
}

// decodeWithChecksum reads what encodeWithChecksum has made.
func decodeWithChecksum(data []byte, target any) error {
	if len(data) < checksumBytes || binary.BigEndian.Uint64(data) != xxhash.Sum64(data[checksumBytes:]) {
		return ErrChecksum
	}
	return json.Unmarshal(data[checksumBytes:], target)
}
