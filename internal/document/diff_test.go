package document

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDiffListsChangesWithEffects(t *testing.T) {
	before := example(t, "charter-production.yaml")
	after := example(t, "charter-production.yaml")
	require.Empty(t, Diff(before, after))
	require.Empty(t, Diff(before, Normalize(after)), "defaults written out are no change")

	after.Objectives.StallTime = 9
	after.Models[0].Versions = []string{"2026-09", "2026-11"}
	after.Classes[0].Priority = 7
	after.Accounts[0].KeyHashes = append([]string{HashKey("new")}, after.Accounts[0].KeyHashes...)
	after.Accounts[0].Serves[0].Version = "2026-11"
	after.Accounts[1].Name = "skippers-west"
	after.Services[0].Routes[2].Idempotent = true
	after.Placements[0].Replicas = 9
	var lines []string
	for _, c := range Diff(before, after) {
		require.NotEmpty(t, c.Effect)
		lines = append(lines, string(c.Kind)+" "+c.Path+" "+c.Old+" "+c.New)
	}
	require.Equal(t, []string{
		"added accounts/booking-office/keyHashes  " + shortenHash(HashKey("new")),
		"changed accounts/booking-office/serves/briefing/version 2026-09 2026-11",
		"removed accounts/skippers weight 3 ",
		"added accounts/skippers-west  weight 3",
		"changed classes/counter/priority 8 7",
		"removed models/briefing/versions 2026-05 ",
		"added models/briefing/versions  2026-11",
		"changed objectives/stallTime 2 9",
		"changed placements/briefing/2026-09/replicas 11 9",
		"changed services/booking/seats/hold DELETE idempotent false true",
		"changed services/booking/seats/hold POST idempotent false true",
	}, lines)
}

func TestDiffAgainstEmptyDocument(t *testing.T) {
	d := example(t, "callbox-production.yaml")
	for _, c := range Diff(Document{}, d) {
		require.NotEqual(t, ChangeRemoved, c.Kind, c)
	}
	for _, c := range Diff(d, Document{}) {
		require.NotEqual(t, ChangeAdded, c.Kind, c)
	}
}

// leaves calls do with each scalar below a value.
func leaves(v reflect.Value, path string, do func(path string, leaf reflect.Value)) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			leaves(v.Field(i), path+"."+v.Type().Field(i).Name, do)
		}
	case reflect.Slice:
		for i := range v.Len() {
			leaves(v.Index(i), fmt.Sprintf("%s[%d]", path, i), do)
		}
	default:
		do(path, v)
	}
}

func modify(leaf reflect.Value) {
	switch leaf.Kind() {
	case reflect.String:
		leaf.SetString(leaf.String() + "x")
	case reflect.Int:
		leaf.SetInt(leaf.Int() + 1)
	case reflect.Float64:
		leaf.SetFloat(leaf.Float() + 1)
	case reflect.Bool:
		leaf.SetBool(!leaf.Bool())
	}
}

func TestDiffCoversEveryField(t *testing.T) {
	for _, name := range []string{"charter-production.yaml", "callbox-production.yaml"} {
		before := Normalize(example(t, name))
		body, err := Encode(before)
		require.NoError(t, err)
		total := 0
		leaves(reflect.ValueOf(&before).Elem(), "", func(string, reflect.Value) { total++ })
		for number := range total {
			after, err := Decode(body)
			require.NoError(t, err)
			at, changed := 0, ""
			leaves(reflect.ValueOf(&after).Elem(), "", func(path string, leaf reflect.Value) {
				if at == number {
					modify(leaf)
					changed = path
				}
				at++
			})
			if changed == ".APIVersion" {
				continue // there is only one
			}
			require.NotEmpty(t, Diff(before, after), changed)
		}
	}
}
