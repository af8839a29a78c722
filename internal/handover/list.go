package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// listForm identifies the format of the file of the list.
const listForm = "ledgespread handed list 1"

// maxListBytes is the maximum size of the file of the list.
const maxListBytes = 64 << 20

// HandedList is the list of servers that a process of this sidecar was told, for the one that is started after it. It is
// written without a sync: the process that reads it runs beside the one that wrote it.
type HandedList struct {
	Discovery string          // the address of discovery to which the version belongs
	List      json.RawMessage // a whole list, in the form of discovery
}

type storedList struct {
	Form      string          `json:"form"`
	Sidecar   string          `json:"sidecar"`
	Discovery string          `json:"discovery"`
	List      json.RawMessage `json:"list"`
}

// listPath returns the path of the file of the list.
func (s *State) listPath() string { return s.path + ".list" }

// WriteList replaces the list that is handed over.
func (s *State) WriteList(handed HandedList) (err error) {
	text, err := json.Marshal(storedList{listForm, s.sidecar, handed.Discovery, handed.List})
	if err != nil {
		return err
	}
	file, err := os.CreateTemp(filepath.Dir(s.path), filepath.Base(s.path)+".list-*")
	if err != nil {
		return err
	}
	_, err = file.Write(text)
	if err = errors.Join(err, file.Close()); err == nil {
		err = os.Rename(file.Name(), s.listPath())
	}
	if err != nil {
		os.Remove(file.Name())
	}
	return err
}

// DropList removes the list that an earlier process left, which no longer runs.
func (s *State) DropList() {
	if err := os.Remove(s.listPath()); err != nil && !errors.Is(err, fs.ErrNotExist) {
		s.log.Warn().Err(err).Msg("the list of an earlier process can't be removed")
	}
}

// ReadList returns the list that is handed over; ok is false if there is none. A torn or foreign one is an error.
func (s *State) ReadList() (handed HandedList, ok bool, err error) {
	info, err := os.Stat(s.listPath())
	if errors.Is(err, fs.ErrNotExist) {
		return handed, false, nil
	}
	if err == nil && (info.Size() > maxListBytes || !info.Mode().IsRegular()) {
		err = errNotAStateFile
	}
	if err != nil {
		return handed, false, err
	}
	text, err := os.ReadFile(s.listPath())
	if err != nil {
		return handed, false, err
	}
	var stored storedList
	if err := json.Unmarshal(text, &stored); err != nil {
		return handed, false, err
	}
	if stored.Form != listForm || stored.Sidecar != s.sidecar {
		return handed, false, fmt.Errorf("unexpected format %q, or written by another sidecar: %q", stored.Form, stored.Sidecar)
	}
	return HandedList{stored.Discovery, stored.List}, true, nil
}
