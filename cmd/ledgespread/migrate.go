package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"ledgespread/internal/live"
	"ledgespread/internal/site"
)

// migrate is the command that writes an old file's counterpart for the new shape.
func migrate() *cobra.Command {
	var move site.Move
	var into string
	var dry, over bool
	cmd := &cobra.Command{Use: "migrate OLD", Short: "Write an old configuration file's counterpart for a pool whose servers report in answers",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			moved, err := site.Migrate(text, move)
			if err == nil {
				err = live.Starts(moved.Manifest)
			}
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			if !dry {
				if err := place(moved.Text, args[0], into, over); err != nil {
					return err
				}
			}
			tell(c.OutOrStdout(), moved, into, dry)
			return nil
		}}
	f := cmd.Flags()
	f.StringVar(&into, "to", "", "file to write")
	f.BoolVar(&dry, "dry-run", false, "change nothing, tell what would change")
	f.BoolVar(&over, "overwrite", false, "the file to write may be there already")
	f.StringVar(&move.Listen, "listen", "", "address at which clients on other machines reach the sidecar")
	f.StringSliceVar(&move.Loads, "loads", nil, "what servers' reports hold, in order: concurrent, depth, load_share, mean_ms, tps or err_ps")
	f.IntVar(&move.Streams, "streams", 0, "requests that a connection to a server may carry at once")
	f.IntVar(&move.Sidecars, "sidecars", 0, "sidecars in the pool")
	f.IntVar(&move.Number, "number", 0, "this one's number among them, from 0")
	f.StringVar(&move.Location, "location", "", "the one location that all stands in")
	f.BoolVar(&move.Silent, "no-messages", false, "sidecars may not send each other messages")
	return cmd
}

func tell(w io.Writer, m *site.Moved, into string, dry bool) {
	for _, line := range m.Changed {
		fmt.Fprintln(w, "changed:", line)
	}
	for _, line := range m.Left {
		fmt.Fprintln(w, "not carried over:", line)
	}
	if dry {
		fmt.Fprintln(w, "nothing was written")
		return
	}
	fmt.Fprintln(w, into+": written")
}

// place writes a file whole or not at all, and none that nobody meant. A full disk or a crash cuts no file short,
// and the one to go back to is not lost.
func place(text []byte, old, into string, over bool) error {
	if into == "" {
		return errors.New("no file to write: tell --to, or --dry-run")
	}
	from, err := os.Stat(old)
	if err != nil {
		return err
	}
	if there, err := os.Stat(into); err == nil && os.SameFile(from, there) {
		return fmt.Errorf("%s: the old file is not written over", into)
	}
	part, err := os.CreateTemp(filepath.Dir(into), filepath.Base(into)+".part-*")
	if err != nil {
		return fmt.Errorf("%s: %w", into, errors.Unwrap(err)) // the part's own name says nothing
	}
	defer os.Remove(part.Name())
	_, err = part.Write(text)
	err = errors.Join(err, part.Chmod(from.Mode().Perm()), part.Sync(), part.Close())
	if err != nil {
		return err
	}
	if over {
		return os.Rename(part.Name(), into)
	}
	if err := os.Link(part.Name(), into); errors.Is(err, fs.ErrExist) {
		return fmt.Errorf("%s: there is such a file; tell --overwrite", into)
	} else if err != nil {
		return err
	}
	return nil
}
