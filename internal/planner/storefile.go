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

// newStoreSuffix is the suffix of a new store's file until the file is complete.
const newStoreSuffix = ".new"

// checksumBytes is the length of the checksum that precedes each value.
const checksumBytes = 8

// Parts of the layout of a bbolt file that readBoltMeta uses: the file begins with two pages, each with a header and a meta
// record.
const (
	boltMagic           = 0xED0CDAED
	boltHeaderBytes     = 16
	boltMetaBytes       = 64
	boltPageSizeOffset  = 8  // byte offset of the page size in the meta record
	boltPageCountOffset = 40 // byte offset of the page count in the meta record
	maxBoltPages        = 1 << 32
	maxBoltPageSize     = 1 << 20
)

// Reasons why the content of a store is not usable.
var (
	ErrEmptyStore = errors.New("file is empty")
	ErrChecksum   = errors.New("checksum does not match")
)

// TruncatedError reports that a store's file is shorter than its meta record states.
type TruncatedError struct {
	Bytes           int64
	Pages, PageSize uint64
}

// Error returns the size of the file and the expected pages.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("file has %d bytes, but its meta record lists %d pages of %d bytes", e.Bytes, e.Pages, e.PageSize)
}

// createStore creates an empty store at path unless the file exists. If creation fails, it leaves no file at path.
func createStore(path string) error {
	if _, err := os.Stat(path); !errors.Is(err, os.ErrNotExist) {
		return err
	}
	newPath := path + newStoreSuffix
	if err := os.Remove(newPath); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	db, err := bbolt.Open(newPath, 0o600, &bbolt.Options{Timeout: fileLockTimeout})
	if err == nil {
		err = errors.Join(createBuckets(db), db.Close())
	}
	if err != nil {
		os.Remove(newPath)
		return err
	}
	defer os.Remove(newPath)
	// The file is linked and not renamed: a rename would replace a store that another planner has created in the meantime.
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

// checkFileSize checks that a store's file is at least as long as its meta records state. Reading a shorter file would cause
// a memory fault.
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
	pages, pageSize := readBoltMeta(f)
	if pages > maxBoltPages || pageSize > maxBoltPageSize || pages*pageSize > uint64(info.Size()) {
		return &TruncatedError{Bytes: info.Size(), Pages: pages, PageSize: pageSize}
	}
	return nil
}

// readBoltMeta returns the page count and the page size according to the two meta records, or 0 if neither can be read.
func readBoltMeta(f *os.File) (pages, pageSize uint64) {
	for _, offset := range []int64{0, int64(os.Getpagesize())} {
		page := make([]byte, boltHeaderBytes+boltMetaBytes)
		if _, err := f.ReadAt(page, offset); err != nil {
			continue
		}
		meta := page[boltHeaderBytes:]
		if binary.NativeEndian.Uint32(meta) == boltMagic {
			pageSize = uint64(binary.NativeEndian.Uint32(meta[boltPageSizeOffset:]))
			pages = max(pages, binary.NativeEndian.Uint64(meta[boltPageCountOffset:]))
		}
	}
	return pages, pageSize
}

// encodeWithChecksum returns the stored form of a value: a checksum followed by JSON.
func encodeWithChecksum(value any) ([]byte, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	return append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(data)), data...), nil
}

// decodeWithChecksum decodes the result of encodeWithChecksum.
func decodeWithChecksum(data []byte, target any) error {
	if len(data) < checksumBytes || binary.BigEndian.Uint64(data) != xxhash.Sum64(data[checksumBytes:]) {
		return ErrChecksum
	}
	return json.Unmarshal(data[checksumBytes:], target)
}
