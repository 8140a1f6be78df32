package outbound

import "io"

// nonRewindableBody hides the type of the body from the transport, which then can't
// send the request again.
type nonRewindableBody struct{ io.ReadCloser }
