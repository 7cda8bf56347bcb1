package writeahead

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"github.com/joomcode/errorx"
)

// File is an open file or folder.
type File interface {
	io.Writer
	io.WriterAt
	io.Seeker
	io.Closer
	Sync() error
	Truncate(size int64) error
}

// FileSystem changes files; tests replace it to make single operations fail.
type FileSystem interface {
	Open(path string, flags int, mode fs.FileMode) (File, error)
	Mkdir(path string, mode fs.FileMode) error
	Rename(from, to string) error
	Remove(path string) error
}

// Folder is the data folder of a replica.
type Folder struct {
	Path string
	// Files is nil for the file system of the operating system.
	Files FileSystem
}

func (f Folder) path(name string) string {
	return filepath.Join(f.Path, name)
}

func (f Folder) files() FileSystem {
	if f.Files == nil {
		return systemFiles{}
	}
	return f.Files
}

// systemFiles is the file system of the operating system.
type systemFiles struct{}

func (systemFiles) Open(path string, flags int, mode fs.FileMode) (File, error) {
	f, err := os.OpenFile(path, flags, mode)
	if err != nil {
		return nil, err
	}
	return f, nil
}

func (systemFiles) Mkdir(path string, mode fs.FileMode) error { return os.Mkdir(path, mode) }

func (systemFiles) Rename(from, to string) error { return os.Rename(from, to) }

func (systemFiles) Remove(path string) error { return os.Remove(path) }

// isDiskFull reports whether an operation failed because the disk, or the quota of
// the process on it, has no room.
func isDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// decorate returns the error of an operation that changed nothing: a *DiskFullError
// if the disk was full.
func decorate(err error, format string, args ...any) error {
	if isDiskFull(err) {
		return &DiskFullError{Cause: err}
	}
	return errorx.Decorate(err, format, args...)
}

// replace atomically replaces a file: it writes and syncs a copy under another name,
// and renames it. After a *DiskFullError the old file is in use, and there is no copy.
func (f Folder) replace(name string, b []byte) error {
	err := f.replaceUnsynced(name, b)
	var full *DiskFullError
	if errors.As(err, &full) {
		// A partial copy would take up space that other writes need.
		return &DiskFullError{Cause: errors.Join(full.Cause, f.remove(name+newSuffix))}
	}
	if err != nil {
		return err
	}
	return f.sync()
}

// replaceUnsynced replaces a file, but does not sync its name.
func (f Folder) replaceUnsynced(name string, b []byte) error {
	if err := f.writeCopy(name+newSuffix, b); err != nil {
		return err
	}
	if err := f.files().Rename(f.path(name+newSuffix), f.path(name)); err != nil {
		return decorate(err, "rename %s", name)
	}
	return nil
}

// writeCopy writes and syncs a file that is not in use yet. Where the disk is full, that
// includes a failed sync, the file must be deleted.
func (f Folder) writeCopy(name string, b []byte) error {
	file, err := f.files().Open(f.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return decorate(err, "create %s", name)
	}
	defer func() { _ = file.Close() }()
	if _, err = file.Write(b); err == nil {
		err = file.Sync()
	}
	switch {
	case isDiskFull(err):
		return &DiskFullError{Cause: err}
	case err != nil:
		return &SyncError{Cause: err}
	}
	return nil
}

// sync syncs the names of the files.
func (f Folder) sync() error {
	d, err := f.files().Open(f.Path, os.O_RDONLY, 0)
	if err != nil {
		return errorx.Decorate(err, "open data folder")
	}
	defer func() { _ = d.Close() }()
	if err := d.Sync(); err != nil {
		return &SyncError{Cause: err}
	}
	return nil
}

// remove deletes a file if there is one.
func (f Folder) remove(name string) error {
	if err := f.files().Remove(f.path(name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return decorate(err, "delete %s", name)
	}
	return nil
}
