package prove

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"corianderhitch/internal/docstore"
	"corianderhitch/internal/platform/memstore"
	"corianderhitch/tests/harness"
)

// docInput is one call on the documents of the environment.
type docInput struct {
	kind   docOperation
	base   int64 // base revision; only of docApply
	marker int   // identifies the applied document; only of docApply
}

type docOperation int

const (
	docApply   docOperation = iota
	docRead                 // reads the store's current document
	docInForce              // reads the revision that a host has in force
)

// docOutput is the result of a docInput.
type docOutput struct {
	kind     docResult
	revision int64
	marker   int
}

type docResult int

const (
	docAccepted docResult = iota
	docConflict
	docUnknown // the store was unreachable or its answer was lost, so that the outcome is unknown
	docSeen
)

// docModel models the store's documents. The state lists the markers of the accepted
// documents, each followed by a comma; a document's revision is its position. A host
// never has a revision in force that was not accepted.
var docModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, in, out any) []any { return stepDocModel(state.(string), in.(docInput), out.(docOutput)) },
}

func stepDocModel(state string, in docInput, out docOutput) []any {
	length := int64(strings.Count(state, ","))
	next := state + strconv.Itoa(in.marker) + ","
	switch {
	case in.kind == docInForce && out.revision <= length:
		return []any{state}
	case in.kind == docRead && out.revision == length && strings.HasSuffix(","+state, fmt.Sprintf(",%d,", out.marker)):
		return []any{state}
	case in.kind != docApply:
		return nil
	case out.kind == docConflict && in.base != length:
		return []any{state}
	case out.kind == docUnknown && in.base != length:
		return []any{state}
	case out.kind == docUnknown:
		return []any{state, next}
	case out.kind == docAccepted && in.base == length:
		return []any{next}
	}
	return nil
}

// docRecorder collects the history of one run.
type docRecorder struct {
	mu      sync.Mutex
	begin   time.Time
	history []porcupine.Operation
}

func (r *docRecorder) add(client int, in docInput, out docOutput, call time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	returned := time.Since(r.begin)
	if out.kind == docUnknown {
		returned = time.Hour // it may take effect at any later time
	}
	r.history = append(r.history, porcupine.Operation{ClientId: client, Input: in, Call: int64(call.Sub(r.begin)), Output: out, Return: int64(returned)})
}

// Parameters of the operators' race.
const (
	racingOperators = 4
	racingApplies   = 8
	faultPhase      = 600 * time.Millisecond // of each fault of the store, and of the time without one
)

// TestDocumentHistory lets several operators apply documents at the same time while
// the store has faults, and requires that one order of accepted documents explains all
// results, reads and revisions in force.
func TestDocumentHistory(t *testing.T) {
	t.Parallel()
	t.Run("operators race on a rolling store outage", func(t *testing.T) {
		t.Parallel()
		if testing.Short() {
			t.Skip("not in the short form")
		}
		defer acquireSlot()()
		summary := ""
		recordResult(t, "document in force everywhere", "operators race on a rolling store outage", &summary)
		c := startCluster(t, clusterSpec{hosts: 4, engines: 1})
		recorder := &docRecorder{begin: time.Now()}
		recorder.add(99, docInput{kind: docApply, marker: 2}, docOutput{kind: docAccepted}, recorder.begin)
		stop := make(chan struct{})
		waitRevisions, waitInForce := c.watchRevisions(stop), c.recordInForce(recorder, stop)
		c.raceThroughOutages(t, recorder)
		last := c.currentRevision(t)
		took := harness.Await(t, inForceBound, fmt.Sprintf("revision %d everywhere", last), func() bool { return c.inForce(last) })
		close(stop)
		waitInForce()
		readings, rollbacks := waitRevisions()
		require.Empty(t, rollbacks)
		result := porcupine.CheckOperationsTimeout(docModel.ToModel(), recorder.history, linearizeTimeout)
		require.Equal(t, porcupine.Ok, result, "no order of accepted documents explains the results")
		summary = fmt.Sprintf("%d operators, %d revisions accepted, %d operations and %d readings in order, last one everywhere after %s",
			racingOperators, last, len(recorder.history), readings, took.Round(10*time.Millisecond))
	})
}

// raceThroughOutages lets operators apply documents while the store is down, loses
// answers and delays answers in turn.
func (c *cluster) raceThroughOutages(t *testing.T, recorder *docRecorder) {
	var wg sync.WaitGroup
	finished := make(chan struct{})
	for operator := range racingOperators {
		r := rand.New(rand.NewPCG(uint64(*seed), uint64(operator)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.runOperator(t, recorder, operator, r)
		}()
	}
	go func() { wg.Wait(); close(finished) }()
	for part := 0; ; part++ {
		fault := []memstore.Fault{{}, {Outage: true}, {LoseAnswers: 0.4}, {AnswerDelay: 200 * time.Millisecond}}[part%4]
		c.storeFault(fault)
		select {
		case <-finished:
			c.storeFault(memstore.Fault{})
			return
		case <-time.After(faultPhase):
		}
	}
}

// runOperator repeatedly reads the current document and applies a change, sometimes
// on an old base revision.
func (c *cluster) runOperator(t *testing.T, recorder *docRecorder, operator int, r *rand.Rand) {
	documents := docstore.New(c.storeClient())
	base := int64(1)
	for n := range racingApplies {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		call := time.Now()
		current, _, err := documents.Current(ctx, "production")
		cancel()
		if err == nil {
			base = current.Revision
			recorder.add(operator, docInput{kind: docRead}, docOutput{kind: docSeen, revision: base,
				marker: int(current.Document.Objectives.InterTokenTail)}, call)
		}
		marker := 100 + 100*operator + n
		in := docInput{kind: docApply, base: base - int64(r.IntN(2)*r.IntN(2)), marker: marker}
		recorder.apply(t, c, operator, in)
	}
}

func (r *docRecorder) apply(t *testing.T, c *cluster, operator int, in docInput) {
	if in.base == 0 {
		in.base = 1
	}
	file := filepath.Join(c.dir, fmt.Sprintf("mark-%d.yaml", in.marker))
	text := strings.Replace(documentWith("v1"), "interTokenTail: 2", fmt.Sprintf("interTokenTail: %d", in.marker), 1)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Error(err)
		return
	}
	call := time.Now()
	out, code := hitchctl(t, "apply", file, "--base", strconv.FormatInt(in.base, 10), "--store", "http://"+c.storeAddress,
		"--environment", "production", "--operator", fmt.Sprintf("operator-%d", operator))
	const conflict, unreachable = 4, 5
	switch code {
	case 0:
		r.add(operator, in, docOutput{kind: docAccepted}, call)
	case conflict:
		r.add(operator, in, docOutput{kind: docConflict}, call)
	case unreachable:
		r.add(operator, in, docOutput{kind: docUnknown}, call)
	default:
		t.Errorf("hitchctl apply ended with code %d: %s", code, out)
	}
}

// recordInForce records each change of the revision that a gateway has in force until
// stop. wait returns when the recording has ended.
func (c *cluster) recordInForce(recorder *docRecorder, stop <-chan struct{}) (wait func()) {
	var watcher sync.WaitGroup
	watcher.Go(func() {
		last := make(map[string]int64)
		ticker := time.NewTicker(harness.PollInterval)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			for i, h := range c.hosts {
				call := time.Now()
				revision, ok := gatewayRevision(h)
				if ok && revision != last[h.name] {
					last[h.name] = revision
					recorder.add(200+i, docInput{kind: docInForce}, docOutput{kind: docSeen, revision: revision}, call)
				}
			}
		}
	})
	return watcher.Wait
}

// currentRevision reads the document's current revision from the store.
func (c *cluster) currentRevision(t *testing.T) int64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	current, _, err := docstore.New(c.storeClient()).Current(ctx, "production")
	require.NoError(t, err)
	return current.Revision
}
