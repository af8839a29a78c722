package size

import _ "embed"

// RunFile and QuickFile are the run files of `ledgelab scale`, so that they are at hand wherever it is called.
var (
	//go:embed run.toml
	RunFile []byte
	//go:embed quick.toml
	QuickFile []byte
)
