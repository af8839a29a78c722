package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"ledgespread/internal/reload"
	"ledgespread/internal/site"
)

// migrateCommand returns the command that converts an old configuration file to the layout for a pool of sidecars.
func migrateCommand() *cobra.Command {
	var options site.MigrateOptions
	var target string
	var dryRun, overwrite bool
	cmd := &cobra.Command{Use: "migrate OLD", Short: "Convert an old configuration file for a pool whose servers report their load in answers",
		Args: cobra.ExactArgs(1),
		RunE: func(running *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			result, err := site.Migrate(text, options)
			if err == nil {
				err = reload.CheckStart(result.Manifest)
			}
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			if !dryRun {
				if err := writeTarget(result.Text, args[0], target, overwrite); err != nil {
					return err
				}
			}
			printResult(running.OutOrStdout(), result, target, dryRun)
			return nil
		}}
	flags := cmd.Flags()
	flags.StringVar(&target, "to", "", "file to write")
	flags.BoolVar(&dryRun, "dry-run", false, "write nothing, print what would change")
	flags.BoolVar(&overwrite, "overwrite", false, "replace the file to write if it exists")
	flags.StringVar(&options.Listen, "listen", "", "address at which clients on other machines reach the sidecar")
	flags.StringSliceVar(&options.LoadFields, "loads", nil, "fields of the servers' load reports, in order: concurrent, depth, load_share, mean_ms, tps or err_ps")
	flags.IntVar(&options.StreamsPerConnection, "streams", 0, "maximum concurrent requests on a connection to a server")
	flags.IntVar(&options.Sidecars, "sidecars", 0, "number of sidecars in the pool")
	flags.IntVar(&options.Index, "number", 0, "index of this sidecar in the pool, from 0")
	flags.StringVar(&options.Location, "location", "", "the single location of all sidecars and servers")
	flags.BoolVar(&options.NoMessages, "no-messages", false, "sidecars may not send each other messages")
	return cmd
}

// printResult prints what a conversion changed and what it could not carry over.
func printResult(w io.Writer, result *site.MigrateResult, target string, dryRun bool) {
	for _, line := range result.Changed {
		fmt.Fprintln(w, "changed:", line)
	}
	for _, line := range result.NotCarriedOver {
		fmt.Fprintln(w, "not carried over:", line)
	}
	if dryRun {
		fmt.Fprintln(w, "nothing was written")
		return
	}
	fmt.Fprintln(w, target+": written")
}

// writeTarget writes the target file atomically: a full disk or a crash leaves no truncated file. It never replaces the
// source, which is needed for going back, and replaces another file only if overwrite is set.
func writeTarget(text []byte, source, target string, overwrite bool) error {
	if target == "" {
		return errors.New("no file to write: tell --to, or --dry-run")
	}
	sourceInfo, err := os.Stat(source)
	if err != nil {
		return err
	}
	if targetInfo, err := os.Stat(target); err == nil && os.SameFile(sourceInfo, targetInfo) {
		return fmt.Errorf("%s: the old file is not written over", target)
	}
	temporary, err := os.CreateTemp(filepath.Dir(target), filepath.Base(target)+".part-*")
	if err != nil {
		return fmt.Errorf("%s: %w", target, errors.Unwrap(err)) // drops the temporary file's name, which the operator doesn't know
	}
	defer os.Remove(temporary.Name())
	_, err = temporary.Write(text)
	err = errors.Join(err, temporary.Chmod(sourceInfo.Mode().Perm()), temporary.Sync(), temporary.Close())
	if err != nil {
		return err
	}
	if overwrite {
		return os.Rename(temporary.Name(), target)
	}
	if err := os.Link(temporary.Name(), target); errors.Is(err, fs.ErrExist) {
		return fmt.Errorf("%s: there is such a file; tell --overwrite", target)
	} else if err != nil {
		return err
	}
	return nil
}
