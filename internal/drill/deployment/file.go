package deployment

import (
	"github.com/BurntSushi/toml"
	"github.com/rotisserie/eris"
)

// ErrOtherFormat reports that a file is TOML, but no deployment file.
var ErrOtherFormat = eris.New("not a deployment file")

// file is the format of deployment files.
type file struct {
	Deployment *Deployment `toml:"deployment"`
}

// Read reads a deployment file.
func Read(path string) (*Deployment, error) {
	var f file
	meta, err := toml.DecodeFile(path, &f)
	if err != nil {
		return nil, eris.Wrapf(err, "deployment file %s", path)
	}
	if f.Deployment == nil {
		return nil, eris.Wrapf(ErrOtherFormat, "%s has no table [deployment]", path)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, eris.Errorf("deployment file %s: unknown key %s", path, unknown[0])
	}
	return f.Deployment, f.Deployment.Validate()
}
