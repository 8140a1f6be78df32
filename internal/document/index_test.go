package document

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// maxAccounts is the number of client accounts that the system is sized for.
const maxAccounts = 27_000

// documentWithAccounts returns a valid document with the given number of accounts.
func documentWithAccounts(accounts int) Document {
	d := Document{
		APIVersion:  APIVersion,
		Environment: "production",
		Objectives:  Objectives{StallTime: 1},
		Models:      []Model{{Name: "briefing", Versions: []string{"v1", "v2"}, Adapters: []string{"a", "b"}, MaxTokens: 4096}},
		Services:    []Service{{Name: "booking", Routes: []Route{{Path: "/seats", Methods: []string{"GET"}, Idempotent: true}}}},
	}
	for i := range accounts {
		name := fmt.Sprintf("account-%05d", i)
		d.Accounts = append(d.Accounts, Account{
			Name:      name,
			KeyHashes: []string{HashKey("key-" + name)},
			Weight:    1 + float64(i%7),
			Limits:    Limits{RequestsPerSecond: 5, Concurrent: 4, Queued: 20},
			Serves: []Grant{
				{Model: "briefing", Version: "v1", Class: ClassInteractive},
				{Model: "briefing", Version: "v2", Adapter: "a", Class: ClassLate},
			},
			Services: []string{"booking"},
		})
	}
	return d
}

func TestIndexLookups(t *testing.T) {
	x := NewIndex(Accepted{Revision: 7, Document: example(t, "charter-production.yaml")})
	require.EqualValues(t, 7, x.Revision())
	require.Equal(t, "production", x.Accepted().Document.Environment)

	a, ok := x.AccountByKey("demo-skippers")
	require.True(t, ok)
	require.Equal(t, "skippers", a.Name)
	for _, key := range []string{"", "demo-nobody", string(make([]byte, maxKeyBytes+1))} {
		_, ok = x.AccountByKey(key)
		require.False(t, ok)
	}
	_, ok = x.Account("nobody")
	require.False(t, ok)

	g, model, class, ok := x.Grant("skippers", "briefing", "catch-log")
	require.True(t, ok)
	require.Equal(t, Grant{Model: "briefing", Version: "2026-09", Adapter: "catch-log", Class: "draft"}, g)
	require.Equal(t, 4096, model.MaxTokens)
	require.True(t, class.MayArriveLate)
	_, _, _, ok = x.Grant("skippers", "briefing", "")
	require.False(t, ok, "the account has the model with the adapter only")
	require.True(t, x.MayCall("booking-office", "booking"))
	require.False(t, x.MayCall("trip-briefings", "booking"))
	require.False(t, x.MayCall("nobody", "booking"))
}

func TestIndexAppliesDefaultClasses(t *testing.T) {
	d := Document{
		Models:   []Model{{Name: "m", Versions: []string{"v"}}},
		Accounts: []Account{{Name: "a", Serves: []Grant{{Model: "m", Version: "v"}, {Model: "m", Version: "v", Adapter: "x", Class: ClassLate}}}},
	}
	x := NewIndex(Accepted{Document: d})
	_, _, class, ok := x.Grant("a", "m", "")
	require.True(t, ok)
	require.Equal(t, Class{Name: ClassInteractive, Priority: 5}, *class)
	_, _, class, ok = x.Grant("a", "m", "x")
	require.True(t, ok)
	require.Equal(t, Class{Name: ClassLate, Priority: 1, MayArriveLate: true}, *class)
	require.Empty(t, d.Classes, "the argument is not modified")
	require.Empty(t, d.Accounts[0].Serves[0].Class)
}

func TestRouteByLongestPath(t *testing.T) {
	d := Document{Services: []Service{{Name: "s", Routes: []Route{
		{Path: "/", Methods: []string{"GET", "POST"}, Idempotent: true},
		{Path: "/seats/", Methods: []string{"GET"}, Idempotent: true},
		{Path: "/seats", Methods: []string{"DELETE"}},
		{Path: "/seats/hold", Methods: []string{"POST"}},
	}}}}
	x := NewIndex(Accepted{Document: d})
	cases := []struct {
		method, path, want string
	}{
		{"GET", "/", ""},
		{"POST", "/other/deep", ""},
		{"GET", "/seats", "/seats"},
		{"GET", "/seats/", "/seats"},
		{"DELETE", "/seats/4", "/seats"},
		{"POST", "/seats/hold/7", "/seats/hold"},
		{"GET", "/seatsx", ""},
		{"POST", "/seats", "none"},               // the longer path matches first, although only the shorter one has the method
		{"GET", "/seats/hold", "none"},           // same
		{"POST", "/seats/../seats/hold", "none"}, // a target may resolve it to another path
		{"POST", "//seats/hold", "none"},
		{"POST", "/./seats/hold", "none"},
		{"GET", "", "none"},
		{"GET", "seats", "none"},
	}
	for _, c := range cases {
		r, ok := x.Route("s", c.method, c.path)
		require.Equal(t, c.want != "none", ok, "%s %s", c.method, c.path)
		if ok {
			require.Equal(t, c.want, r.Path, "%s %s", c.method, c.path)
		}
	}
	_, ok := x.Route("q", "GET", "/")
	require.False(t, ok)
}

func TestIndexOfLargestDocument(t *testing.T) {
	d := documentWithAccounts(maxAccounts)
	start := time.Now()
	x := NewIndex(Accepted{Revision: 1, Document: d})
	elapsed := time.Since(start)
	// Usually a tenth of this; the limit allows for a busy machine.
	require.Less(t, elapsed, time.Second)
	a, ok := x.AccountByKey("key-account-26999")
	require.True(t, ok)
	require.Equal(t, "account-26999", a.Name)
	allocations := testing.AllocsPerRun(100, func() {
		account, _ := x.AccountByKey("key-account-13500")
		x.Grant(account.Name, "briefing", "a")
		x.Route("booking", "GET", "/seats/4")
		x.MayCall(account.Name, "booking")
	})
	require.Zero(t, allocations)
}

func BenchmarkNewIndex(b *testing.B) {
	d := documentWithAccounts(maxAccounts)
	b.ReportAllocs()
	for b.Loop() {
		NewIndex(Accepted{Revision: 1, Document: d})
	}
}

func BenchmarkLookups(b *testing.B) {
	x := NewIndex(Accepted{Revision: 1, Document: documentWithAccounts(maxAccounts)})
	b.Run("account by key", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			x.AccountByKey("key-account-13500")
		}
	})
	b.Run("grant", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			x.Grant("account-13500", "briefing", "a")
		}
	})
	b.Run("route", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			x.Route("booking", "GET", "/seats/4")
		}
	})
}

func BenchmarkParseLargestDocument(b *testing.B) {
	body, err := Encode(documentWithAccounts(maxAccounts))
	require.NoError(b, err)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		if _, err := Parse(body); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkMemory reports the memory that a process uses for one document: its
// canonical JSON, the decoded document and the index.
func BenchmarkMemory(b *testing.B) {
	body, err := Encode(documentWithAccounts(maxAccounts))
	require.NoError(b, err)
	var d Document
	var x *Index
	for b.Loop() {
		before := heapBytes()
		d, err = Decode(body)
		require.NoError(b, err)
		decoded := heapBytes()
		x = NewIndex(Accepted{Revision: 1, Document: d})
		indexed := heapBytes()
		b.ReportMetric(float64(len(body)), "json-B")
		b.ReportMetric(float64(decoded)-float64(before), "decoded-B")
		b.ReportMetric(float64(indexed)-float64(decoded), "index-B")
		runtime.KeepAlive(d)
		runtime.KeepAlive(x)
		d, x = Document{}, nil
	}
	runtime.KeepAlive(body)
}

// heapBytes returns the size of all live heap objects.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
