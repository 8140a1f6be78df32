package kvhttp

import "time"

// Defaults of Options.
const (
	defaultTimeout     = 5 * time.Second
	defaultDialTimeout = time.Second
	// defaultWatchTimeout exceeds the store's poll limit of 30 s, so that a healthy
	// watch always ends with a response.
	defaultWatchTimeout = 45 * time.Second
)

// Options configure a Client. The zero value uses the defaults.
type Options struct {
	Timeout      time.Duration // of a call; zero means 5 s
	DialTimeout  time.Duration // of connecting; zero means 1 s
	WatchTimeout time.Duration // of a watch; zero means 45 s
}

func (o Options) withDefaults() Options {
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.WatchTimeout == 0 {
		o.WatchTimeout = defaultWatchTimeout
	}
	return o
}
