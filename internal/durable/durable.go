// Package durable writes files so that they survive a crash of the machine.
package durable

import (
	"errors"
	"os"
)

// WriteAndClose writes the content of a newly opened file, syncs it and closes it. If it returns no error, the
// content is on the disk and the file may be renamed.
func WriteAndClose(file *os.File, text []byte) error {
	_, err := file.Write(text)
	if err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close())
}

// SyncDir writes the entries of a directory to the disk. Without it a crash may undo a rename.
func SyncDir(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}
