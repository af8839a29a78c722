package rollout

// Verdicts of the part that judges, for tests.
func Judged(was, is Share) bool { return worse(was, is) }

// Reads takes a word apart and says it in words; "": it is none.
func Reads(b []byte) bool {
	_, ok := read(b)
	return ok
}
