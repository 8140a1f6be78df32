package deployment

// Domain is a failure domain.
type Domain struct {
	Name  string `toml:"name"`
	Hosts int    `toml:"hosts"`
}
