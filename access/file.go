package access

import (
	"os"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

// lookInterval is the time between looks whether a key file has changed.
const lookInterval = time.Second

// File is a key in a file, which is read again when it changes. It is safe for
// concurrent use; its zero value has no key.
type File struct {
	path string

	mu sync.Mutex
	// key is the newest one that could be read.
	key     string
	changed time.Time
	looked  time.Time
}

// OpenFile returns the key in a file; an empty path stands for no key.
func OpenFile(path string) (*File, error) {
	f := &File{path: path}
	if path == "" {
		return f, nil
	}
	if err := f.read(); err != nil {
		return nil, errorx.Decorate(err, "read the key file")
	}
	return f, nil
}

// Key returns the key. While a changed file can't be read, it is the old one.
func (f *File) Key() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.path == "" || time.Since(f.looked) < lookInterval {
		return f.key
	}
	_ = f.read()
	return f.key
}

func (f *File) read() error {
	f.looked = time.Now()
	i, err := os.Stat(f.path)
	if err != nil || i.ModTime().Equal(f.changed) {
		return err
	}
	b, err := os.ReadFile(f.path)
	if err != nil {
		return err
	}
	f.key, f.changed = strings.TrimSpace(string(b)), i.ModTime()
	return nil
}
