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
	kind docKind
	base int64 // of an apply
	mark int   // distinguishes the document that an apply brings
}

type docKind int

const (
	docApply docKind = iota
	docRead          // of the store
	docShown         // revision that a host has in force
)

// docOutput is its result.
type docOutput struct {
	kind     docResult
	revision int64
	mark     int
}

type docResult int

const (
	docAccepted docResult = iota
	docConflict
	docUnsure // the store was unreachable or its answer was lost
	docSeen
)

// docModel is the list of accepted documents, as text: a host never shows a
// revision that is not accepted.
var docModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, in, out any) []any { return docStep(state.(string), in.(docInput), out.(docOutput)) },
}

func docStep(state string, in docInput, out docOutput) []any {
	length := int64(strings.Count(state, ","))
	next := state + strconv.Itoa(in.mark) + ","
	switch {
	case in.kind == docShown && out.revision <= length:
		return []any{state}
	case in.kind == docRead && out.revision == length && strings.HasSuffix(","+state, fmt.Sprintf(",%d,", out.mark)):
		return []any{state}
	case in.kind != docApply:
		return nil
	case out.kind == docConflict && in.base != length:
		return []any{state}
	case out.kind == docUnsure && in.base != length:
		return []any{state}
	case out.kind == docUnsure:
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
	if out.kind == docUnsure {
		returned = time.Hour // it may take effect later
	}
	r.history = append(r.history, porcupine.Operation{ClientId: client, Input: in, Call: int64(call.Sub(r.begin)), Output: out, Return: int64(returned)})
}

// The race of the operators.
const (
	racingOperators = 4
	racingApplies   = 8
	outagePart      = 600 * time.Millisecond // of each outage, and between two
)

func TestDocumentHistory(t *testing.T) {
	t.Parallel()
	t.Run("operators race on a rolling store outage", func(t *testing.T) {
		t.Parallel()
		if testing.Short() {
			t.Skip("not in the short form")
		}
		defer slot()()
		figures := ""
		record(t, "document in force everywhere", "operators race on a rolling store outage", &figures)
		c := startCluster(t, clusterSize{hosts: 4, engines: 1})
		recorder := &docRecorder{begin: time.Now()}
		recorder.add(99, docInput{kind: docApply, mark: 2}, docOutput{kind: docAccepted}, recorder.begin)
		stop := make(chan struct{})
		watched, shown := c.watchRevisions(stop), c.watchShown(recorder, stop)
		c.raceThroughOutages(t, recorder)
		last := c.currentRevision(t)
		took := harness.Await(t, inForceLimit, fmt.Sprintf("revision %d everywhere", last), func() bool { return c.inForce(last) })
		close(stop)
		shown()
		readings, reverted := watched()
		require.Empty(t, reverted)
		verdict := porcupine.CheckOperationsTimeout(docModel.ToModel(), recorder.history, linearizeLimit)
		require.Equal(t, porcupine.Ok, verdict, "no order of accepted documents explains the results")
		figures = fmt.Sprintf("%d operators, %d revisions accepted, %d operations and %d readings in order, last one everywhere after %s",
			racingOperators, last, len(recorder.history), readings, took.Round(10*time.Millisecond))
	})
}

// raceThroughOutages lets operators apply while the store goes down and comes
// back, and loses answers.
func (c *cluster) raceThroughOutages(t *testing.T, recorder *docRecorder) {
	var open sync.WaitGroup
	over := make(chan struct{})
	for operator := range racingOperators {
		r := rand.New(rand.NewPCG(uint64(*seed), uint64(operator)))
		open.Add(1)
		go func() {
			defer open.Done()
			c.operate(t, recorder, operator, r)
		}()
	}
	go func() { open.Wait(); close(over) }()
	for part := 0; ; part++ {
		fault := []memstore.Fault{{}, {Outage: true}, {LoseAnswers: 0.4}, {AnswerDelay: 200 * time.Millisecond}}[part%4]
		c.storeFault(fault)
		select {
		case <-over:
			c.storeFault(memstore.Fault{})
			return
		case <-time.After(outagePart):
		}
	}
}

// operate reads what is in force and applies a change to it, again and again.
func (c *cluster) operate(t *testing.T, recorder *docRecorder, operator int, r *rand.Rand) {
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
				mark: int(current.Document.Objectives.InterTokenTail)}, call)
		}
		mark := 100 + 100*operator + n
		in := docInput{kind: docApply, base: base - int64(r.IntN(2)*r.IntN(2)), mark: mark}
		recorder.apply(t, c, operator, in)
	}
}

func (r *docRecorder) apply(t *testing.T, c *cluster, operator int, in docInput) {
	if in.base == 0 {
		in.base = 1
	}
	file := filepath.Join(c.dir, fmt.Sprintf("mark-%d.yaml", in.mark))
	text := strings.Replace(documentWith("v1"), "interTokenTail: 2", fmt.Sprintf("interTokenTail: %d", in.mark), 1)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Error(err)
		return
	}
	call := time.Now()
	out, code := hitchctl(t, "apply", file, "--base", strconv.FormatInt(in.base, 10), "--store", "http://"+c.storeAt,
		"--environment", "production", "--operator", fmt.Sprintf("operator-%d", operator))
	const conflict, unreachable = 4, 5
	switch code {
	case 0:
		r.add(operator, in, docOutput{kind: docAccepted}, call)
	case conflict:
		r.add(operator, in, docOutput{kind: docConflict}, call)
	case unreachable:
		r.add(operator, in, docOutput{kind: docUnsure}, call)
	default:
		t.Errorf("hitchctl apply ended with code %d: %s", code, out)
	}
}

// watchShown records what every gateway shows until stop.
func (c *cluster) watchShown(recorder *docRecorder, stop <-chan struct{}) (wait func()) {
	var done sync.WaitGroup
	done.Go(func() {
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
					recorder.add(200+i, docInput{kind: docShown}, docOutput{kind: docSeen, revision: revision}, call)
				}
			}
		}
	})
	return done.Wait
}

// currentRevision reads the revision that the store holds.
func (c *cluster) currentRevision(t *testing.T) int64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	current, _, err := docstore.New(c.storeClient()).Current(ctx, "production")
	require.NoError(t, err)
	return current.Revision
}
