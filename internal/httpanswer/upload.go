package httpanswer

import (
	"sync"
	"time"
)

// uploadWait is how long the end of a body waits for the end of the upload.
const uploadWait = 2 * time.Second

// Upload is the sending of a request. When a connection is reset, the kernel reports that once, either to
// the write or to the read; the other one sees an ordinary end. A response that ends with the connection is
// complete only if the request was sent without an error.
type Upload struct {
	once sync.Once
	done chan struct{}
	err  error // set before done is closed
}

// NewUpload returns an upload in progress.
func NewUpload() *Upload { return &Upload{done: make(chan struct{})} }

// End records that the request was sent, or that this failed.
func (u *Upload) End(err error) {
	u.once.Do(func() {
		u.err = err
		close(u.done)
	})
}

// Sent reports whether the whole request has been sent.
func (u *Upload) Sent() bool {
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// await is Sent, but waits for the end of the upload for a while.
func (u *Upload) await() bool {
	timer := time.NewTimer(uploadWait)
	defer timer.Stop()
	select {
	case <-u.done:
	case <-timer.C:
	}
	return u.Sent()
}
