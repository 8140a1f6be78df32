package process

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/platform"
)

// registrationTimeout limits one call to the stand-in store.
const registrationTimeout = 3 * time.Second

// Registration maintains a target's entry in the host list of the stand-in store.
type Registration struct {
	storeURL string // base URL; empty disables registration
	target   platform.Target
	log      *slog.Logger
}

// Register adds the target to the host list of the store at storeURL. With an empty
// URL, Register and the methods of the result do nothing.
func Register(storeURL string, target platform.Target, log *slog.Logger) (*Registration, error) {
	r := &Registration{storeURL: strings.TrimSuffix(storeURL, "/"), target: target, log: log}
	if storeURL == "" {
		return r, nil
	}
	if err := r.call(http.MethodPut, target); err != nil {
		return nil, eris.Wrap(err, "cannot register; start the store first or correct --register")
	}
	return r, nil
}

// SetLeaving updates whether the listed target is leaving. Errors are only logged.
func (r *Registration) SetLeaving(leaving bool) {
	target := r.target
	target.Leaving = leaving
	r.callAndLog(http.MethodPut, target)
}

// Remove removes the target from the host list. Errors are only logged.
func (r *Registration) Remove() { r.callAndLog(http.MethodDelete, r.target) }

func (r *Registration) callAndLog(method string, target platform.Target) {
	if r.storeURL == "" {
		return
	}
	if err := r.call(method, target); err != nil {
		r.log.Warn("cannot update the host list", "error", err)
	}
}

// call sends a change of the target's entry to the admin API of the store.
func (r *Registration) call(method string, target platform.Target) error {
	body, err := json.Marshal(target)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), registrationTimeout)
	defer cancel()
	address := r.storeURL + "/admin/targets/" + url.PathEscape(target.Name)
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("the store returned status %s", response.Status)
	}
	return nil
}
