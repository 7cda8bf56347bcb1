package control

import (
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"ebonyreel/writeahead"
)

// fullDisk is a file system that has no room for a time.
type fullDisk struct {
	mu sync.Mutex
	// awaited is the name of the file whose next write fills the disk; empty if no
	// such write is awaited.
	awaited  string
	duration time.Duration
	// noFiles is true if a full disk takes no new files either.
	noFiles bool
	until   time.Time
}

// fill makes the disk full for a time: from now on, or from the next write to a file.
func (f *fullDisk) fill(file string, d time.Duration, noFiles bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.awaited, f.duration, f.noFiles = file, d, noFiles
	if file == "" {
		f.until = time.Now().Add(d)
	}
}

// awaitFull waits until the disk is full, and returns false where nothing has been
// written that fills it.
func (f *fullDisk) awaitFull() bool {
	for deadline := time.Now().Add(fillTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		f.mu.Lock()
		awaited := f.awaited
		f.mu.Unlock()
		if awaited == "" {
			return true
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.awaited = ""
	return false
}

// awaitRoom waits until the disk was full, if something is written that fills it, and
// has room again.
func (f *fullDisk) awaitRoom() {
	f.awaitFull()
	for f.isFull() {
		time.Sleep(time.Millisecond)
	}
}

func (f *fullDisk) isFull() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.until)
}

// check returns ENOSPC for a write to a file on a full disk.
func (f *fullDisk) check(path string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.awaited != "" && filepath.Base(path) == f.awaited {
		f.awaited, f.until = "", time.Now().Add(f.duration)
	}
	if time.Now().Before(f.until) {
		return syscall.ENOSPC
	}
	return nil
}

// refusesFile reports whether there is no room for a new file.
func (f *fullDisk) refusesFile(path string) bool {
	_, err := os.Stat(path)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.noFiles && os.IsNotExist(err) && time.Now().Before(f.until)
}

func (f *fullDisk) Open(path string, flags int, mode fs.FileMode) (writeahead.File, error) {
	if flags&os.O_CREATE != 0 && f.refusesFile(path) {
		return nil, syscall.ENOSPC
	}
	file, err := os.OpenFile(path, flags, mode)
	return &fullDiskFile{File: file, disk: f}, err
}

func (f *fullDisk) Mkdir(path string, mode fs.FileMode) error {
	if f.refusesFile(path) {
		return syscall.ENOSPC
	}
	return os.Mkdir(path, mode)
}

func (f *fullDisk) Rename(from, to string) error { return os.Rename(from, to) }

func (f *fullDisk) Remove(path string) error { return os.Remove(path) }

type fullDiskFile struct {
	*os.File
	disk *fullDisk
}

// Write writes the first half of what a full disk has no room for.
func (f *fullDiskFile) Write(b []byte) (int, error) {
	if err := f.disk.check(f.Name()); err != nil {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, err
	}
	return f.File.Write(b)
}

func (f *fullDiskFile) WriteAt(b []byte, offset int64) (int, error) {
	if err := f.disk.check(f.Name()); err != nil {
		return 0, err
	}
	return f.File.WriteAt(b, offset)
}
