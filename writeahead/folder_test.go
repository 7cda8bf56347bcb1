package writeahead

import (
	"io/fs"
	"path/filepath"
	"syscall"
)

// fullDisk is a file system on which operations on some files find no room.
type fullDisk struct {
	systemFiles
	// failing holds an operation and the name of a file each, such as "write snapshot.new".
	failing map[string]bool
}

func (d *fullDisk) check(operation, path string) error {
	if d.failing[operation+" "+filepath.Base(path)] {
		return syscall.ENOSPC
	}
	return nil
}

func (d *fullDisk) Open(path string, flags int, mode fs.FileMode) (File, error) {
	if err := d.check("open", path); err != nil {
		return nil, err
	}
	f, err := d.systemFiles.Open(path, flags, mode)
	return &fullDiskFile{File: f, disk: d, path: path}, err
}

func (d *fullDisk) Mkdir(path string, mode fs.FileMode) error {
	if err := d.check("mkdir", path); err != nil {
		return err
	}
	return d.systemFiles.Mkdir(path, mode)
}

func (d *fullDisk) Rename(from, to string) error {
	if err := d.check("rename", from); err != nil {
		return err
	}
	return d.systemFiles.Rename(from, to)
}

type fullDiskFile struct {
	File
	disk *fullDisk
	path string
}

// Write takes 7 bytes of what it finds no room for.
func (f *fullDiskFile) Write(b []byte) (int, error) {
	if err := f.disk.check("write", f.path); err != nil {
		n, _ := f.File.Write(b[:min(len(b), 7)])
		return n, err
	}
	return f.File.Write(b)
}

func (f *fullDiskFile) Truncate(size int64) error {
	if err := f.disk.check("truncate", f.path); err != nil {
		return err
	}
	return f.File.Truncate(size)
}

func (f *fullDiskFile) Sync() error {
	if err := f.disk.check("sync", f.path); err != nil {
		return err
	}
	return f.File.Sync()
}
