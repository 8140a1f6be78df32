package outbound

import "io"

// onceBody hides the real body from the transport, which then takes the request
// for one that cannot be sent again.
type onceBody struct{ io.ReadCloser }
