// Package durable writes what has to be there after a crash of the machine.
package durable

import (
	"errors"
	"os"
)

// Write fills a file that was just opened, and closes it. Without an error its bytes are on the disk; it may be renamed then.
func Write(file *os.File, text []byte) error {
	_, err := file.Write(text)
	if err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close())
}

// SyncFolder has the names in a folder on the disk: without it a rename may be undone by a crash.
func SyncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}
