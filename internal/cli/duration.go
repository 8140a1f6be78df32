package cli

import "time"

// durationFlag is a flag with a positive duration such as 500ms or 5s.
type durationFlag time.Duration

// Set implements pflag.Value.
func (d *durationFlag) Set(text string) error {
	parsed, err := time.ParseDuration(text)
	if err != nil || parsed <= 0 {
		return &usageError{"write a duration above 0, for example 500ms or 5s"}
	}
	*d = durationFlag(parsed)
	return nil
}

// String implements pflag.Value.
func (d *durationFlag) String() string { return time.Duration(*d).String() }

// Type implements pflag.Value.
func (d *durationFlag) Type() string { return "duration" }
