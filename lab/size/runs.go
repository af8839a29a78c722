package size

import _ "embed"

// RunFile and QuickFile are the run files of `ledgelab scale`, embedded so that it runs from any directory.
var (
	//go:embed run.toml
	RunFile []byte
	//go:embed quick.toml
	QuickFile []byte
)
