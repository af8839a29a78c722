package sharedids

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// An ID that one process has reserved is known to the other, until it expires. A full set refuses nobody.
func TestIDsAreKnownToBothProcesses(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ids")
	first, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	second, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	if !first.Reserve("a", time.Minute) || second.Reserve("a", time.Minute) || first.Reserve("a", time.Minute) {
		t.Error("an ID was reserved twice")
	}
	if !second.Reserve("b", 50*time.Millisecond) {
		t.Error("another ID is refused")
	}
	time.Sleep(60 * time.Millisecond)
	if !first.Reserve("b", time.Minute) {
		t.Error("an expired ID is refused")
	}
	for i := range 3 * slotCount {
		if !first.Reserve(fmt.Sprint("more", i), time.Minute) {
			t.Fatalf("ID %d is refused", i)
		}
	}
}

// A page of the file that can't be read ends neither the process nor its requests.
func TestUnreadablePageRefusesNobody(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ids")
	set, err := Open(path)
	if err == nil {
		err = os.Truncate(path, 0) // a page beyond the end of the file is as one that the disk can't read
	}
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if !set.Reserve("a", time.Minute) {
			t.Error("an ID is refused")
		}
	}
}
