// Package forwardconn opens connections to targets by way of other hosts. It answers cuts between
// some hosts and the targets, which callers and the other hosts don't see: a host that is cut off
// asks the agent of another one, its helper, to open the connection and to pass its bytes on
// unchanged. One hop at most: helpers connect themselves.
package forwardconn

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/edge/targetconn"
)

// Preface is the first byte of a connection to an agent that asks for a connection to a target. No
// stream of encoding/gob, which net/rpc uses, begins with it.
//
// The client writes Preface, the length of the target's address as one byte, and the address
// (ip:port). The helper answers with one byte, an outcome; after outcomeConnected both sides pass
// bytes on until one of them closes.
const Preface byte = 0

// maxAddressBytes bounds the address of a target.
const maxAddressBytes = 255

// Outcomes on the wire.
const (
	outcomeConnected byte = 'a'
	outcomeRefused   byte = 'r' // no process listens at the target's address
	outcomeNotSent   byte = 'n' // the helper doesn't reach the target
	outcomeCutOff    byte = 'c'
	outcomeBusy      byte = 'b'
	outcomeStopping  byte = 's'
)

// outcomes translates outcomes on the wire.
var outcomes = map[byte]targetconn.ForwardOutcome{
	outcomeConnected: targetconn.ForwardAnswered,
	outcomeRefused:   targetconn.ForwardRefused,
	outcomeNotSent:   targetconn.ForwardNotSent,
	outcomeCutOff:    targetconn.ForwardCutOff,
	outcomeBusy:      targetconn.ForwardBusy,
	outcomeStopping:  targetconn.ForwardStopping,
}

// ask asks the helper at the other end of a connection to connect it to a target. It returns how the
// helper answered, ForwardUnreachable if it did not before the end of ctx.
func ask(ctx context.Context, conn net.Conn, target string) targetconn.ForwardOutcome {
	if len(target) > maxAddressBytes {
		return targetconn.ForwardUnreachable
	}
	interrupt := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	_, err := conn.Write(append([]byte{Preface, byte(len(target))}, target...))
	answer := make([]byte, 1)
	if err == nil {
		_, err = io.ReadFull(conn, answer)
	}
	outcome, known := outcomes[answer[0]]
	if !interrupt() || err != nil || !known {
		return targetconn.ForwardUnreachable
	}
	return outcome
}

// readTarget reads the address of a target that is asked for, after Preface.
func readTarget(conn net.Conn) (string, error) {
	length := make([]byte, 1)
	if _, err := io.ReadFull(conn, length); err != nil {
		return "", eris.Wrap(err, "forwarded connection ended before the address of its target")
	}
	address := make([]byte, length[0])
	if _, err := io.ReadFull(conn, address); err != nil {
		return "", eris.Wrap(err, "forwarded connection ended within the address of its target")
	}
	return string(address), nil
}
