package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// capacityOf plays the command from the root of the tree.
func capacityOf(t *testing.T, args ...string) (string, error) {
	t.Helper()
	t.Chdir("../..")
	var out bytes.Buffer
	c := root()
	c.SetOut(&out)
	c.SetArgs(append([]string{"capacity"}, args...))
	err := c.Execute()
	t.Chdir("cmd/ledgelab")
	return out.String(), err
}

// A page whose figures were changed by hand fails the check with a line that says where; written anew it passes.
func TestCapacityCheck(t *testing.T) {
	text, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	if said, err := capacityOf(t, "--check", "docs/CAPACITY.md"); err != nil || said != "" {
		t.Fatalf("the committed page: %v, %s", err, said)
	}
	file := filepath.Join(t.TempDir(), "page.md")
	if err := os.WriteFile(file, []byte(strings.Replace(string(text), "| 18,000 |", "| 19,000 |", 1)), 0o644); err != nil {
		t.Fatal(err)
	}
	if said, err := capacityOf(t, "--check", file); !errors.Is(err, errBroke) || !strings.HasPrefix(said, file+":") || !strings.Contains(said, "table role.server differs") {
		t.Errorf("%v, %s", err, said)
	}
	if _, err := capacityOf(t, "--write", file); err != nil {
		t.Fatal(err)
	}
	if again, err := os.ReadFile(file); err != nil || string(again) != string(text) {
		t.Error("written anew it is another page", err)
	}
}

// What can't be read is told with file, line and name, and nothing is written.
func TestCapacityRefuses(t *testing.T) {
	folder := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(folder, name)
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return file
	}
	for _, c := range []struct{ flag, file, want string }{
		{"--requirement", write("r.toml", "[requirement]\nservers = \"many\"\n"), "r.toml:2: requirement.servers: "},
		{"--requirement", write("s.toml", "[requirement]\nservers = 10\n"), "s.toml:1: requirement.services: is left out"},
		{"--measured", write("m.json", "{\n \"runn\": \"x\"\n}"), "m.json:2: runn: no such name"},
		{"--measured", filepath.Join(folder, "none.json"), "none.json"},
		{"--check", write("p.md", "no tables\n"), ""},
	} {
		said, err := capacityOf(t, c.flag, c.file)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s %s: %v, %s", c.flag, c.file, err, said)
		}
	}
	if said, err := capacityOf(t, "--check", filepath.Join(folder, "p.md")); !errors.Is(err, errBroke) || !strings.Contains(said, "p.md:2: requirement: has no place on the page") {
		t.Errorf("%v, %s", err, said)
	}
}
