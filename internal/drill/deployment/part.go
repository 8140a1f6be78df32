package deployment

// Part describes parts of prompts that requests have in common.
type Part struct {
	Tokens Length `toml:"tokens"`
	Count  int    `toml:"count"` // different parts
}
