package access

import (
	"os"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

// checkInterval is the shortest time between two checks for a changed key file.
const checkInterval = time.Second

// KeyFile is a key that is read from a file, and read again when the file
// changes. It is safe for concurrent use; the zero value has an empty key.
type KeyFile struct {
	path string

	mu sync.Mutex
	// key is the last key that was read successfully.
	key string
	// modified is the modification time of the file when key was read.
	modified time.Time
	// checked is when the file was last checked for changes.
	checked time.Time
}

// OpenKeyFile reads the key in a file. An empty path gives an empty key.
func OpenKeyFile(path string) (*KeyFile, error) {
	f := &KeyFile{path: path}
	if path == "" {
		return f, nil
	}
	if err := f.read(); err != nil {
		return nil, errorx.Decorate(err, "read the key file")
	}
	return f, nil
}

// Key returns the key. It returns the previous key while a changed file cannot be
// read.
func (f *KeyFile) Key() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.path == "" || time.Since(f.checked) < checkInterval {
		return f.key
	}
	_ = f.read()
	return f.key
}

// read reads the key if the file has changed.
func (f *KeyFile) read() error {
	f.checked = time.Now()
	i, err := os.Stat(f.path)
	if err != nil || i.ModTime().Equal(f.modified) {
		return err
	}
	b, err := os.ReadFile(f.path)
	if err != nil {
		return err
	}
	f.key, f.modified = strings.TrimSpace(string(b)), i.ModTime()
	return nil
}
