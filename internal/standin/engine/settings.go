package engine

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	apiengine "corianderhitch/api/engine"
	"corianderhitch/internal/enginemodel"
	"corianderhitch/internal/standin/process"
)

// Settings are the flags of "standin engine".
type Settings struct {
	process.Common
	Name        string `flag:"name" default:"engine-1" usage:"target name" validate:"required"`
	Domain      string `flag:"domain" default:"local-a" usage:"failure domain" validate:"required"`
	Region      string `flag:"region" default:"local" usage:"region of the failure domain" validate:"required"`
	RegisterURL string `flag:"register" usage:"URL of the stand-in store whose host list shall name this target; empty for none" validate:"omitempty,url"`

	LoadedModels []string      `flag:"model" default:"writer@1" usage:"model versions loaded at the start, separated by commas, each name@version or name@version+adapter+adapter" validate:"dive,required"`
	Role         string        `flag:"role" default:"general" usage:"role at the start, general or standby" validate:"oneof=general standby"`
	FenceMode    string        `flag:"fence" default:"strict" usage:"strict refuses orders with an old fencing number, lax ignores the number" validate:"oneof=strict lax"`
	MaxLoaded    int           `flag:"max-loaded" default:"0" usage:"model versions that fit, 0 for any number" validate:"min=0"`
	LoadTime     time.Duration `flag:"load-time" default:"2s" usage:"time that loading a model version or adapter takes" validate:"min=0"`

	TotalBlocks         int           `flag:"blocks" default:"1024" usage:"KV memory in blocks of 64 tokens" validate:"min=1"`
	MaxBatch            int           `flag:"max-batch" default:"32" usage:"sequences in a batch" validate:"min=1"`
	MaxWaiting          int           `flag:"max-waiting" default:"4096" usage:"sequences that may wait" validate:"min=1"`
	PrefillChunk        int           `flag:"prefill-chunk" default:"512" usage:"prefill tokens a step" validate:"min=1"`
	StepBase            time.Duration `flag:"step-base" default:"20ms" usage:"time of a step" validate:"min=100us"`
	StepPerSequence     time.Duration `flag:"step-sequence" default:"300us" usage:"time of a step added by each decoding sequence" validate:"min=1ns"`
	StepPerPrefillToken time.Duration `flag:"step-prefill" default:"40us" usage:"time of a step added by each prefill token" validate:"min=1ns"`

	Lengths        string        `flag:"lengths" usage:"mixture of output lengths, kind:A:B:weight separated by commas; kinds fixed, lognormal, pareto, bimodal; empty for the default mixture"`
	LengthSeed     int           `flag:"length-seed" default:"1" usage:"seed of output lengths, the same on all engines" validate:"min=0"`
	Seed           int           `flag:"seed" default:"1" usage:"seed of lost and late cache events" validate:"min=0"`
	ReportInterval time.Duration `flag:"report-every" default:"100ms" usage:"time between samples of the load" validate:"min=0"`
	ReportLag      time.Duration `flag:"report-lag" default:"500ms" usage:"age at which a sample is seen" validate:"min=0"`
	CacheLag       time.Duration `flag:"cache-lag" default:"300ms" usage:"delay of cache events" validate:"min=0"`
	CacheJitter    time.Duration `flag:"cache-jitter" default:"200ms" usage:"largest random addition to the delay of cache events" validate:"min=0"`
	CacheLoss      float64       `flag:"cache-loss" default:"0.01" usage:"probability that a cache event is lost" validate:"min=0,max=1"`

	CrashOnBlock string `flag:"crash-on-block" usage:"prefix hash, in hexadecimal, of a block of prompts under which the engine crashes when it begins to write; empty for none" validate:"omitempty,hexadecimal"`

	Retention    time.Duration `flag:"retention" default:"1m" usage:"how long ended generations can be read" validate:"min=1ms"`
	DrainTimeout time.Duration `flag:"drain" default:"30s" usage:"longest wait for running generations after SIGTERM" validate:"min=0"`
	JournalPath  string        `flag:"journal" usage:"file to which the journal is appended as JSON lines; empty for none"`
}

// modelConfig returns the configuration of the engine model. It fails on malformed
// --model and --lengths values.
func (s Settings) modelConfig() (enginemodel.Config, error) {
	loaded, err := parseModels(s.LoadedModels)
	if err != nil {
		return enginemodel.Config{}, err
	}
	var lengths enginemodel.LengthMixture
	if s.Lengths != "" {
		if lengths, err = enginemodel.ParseLengths(s.Lengths); err != nil {
			return enginemodel.Config{}, fmt.Errorf("--lengths: %w", err)
		}
	}
	var crashingBlock uint64
	if s.CrashOnBlock != "" {
		if crashingBlock, err = strconv.ParseUint(s.CrashOnBlock, 16, 64); err != nil {
			return enginemodel.Config{}, fmt.Errorf("--crash-on-block: %w", err)
		}
	}
	return enginemodel.Config{
		CrashingBlock:       crashingBlock,
		Name:                s.Name,
		Seed:                uint64(s.Seed),
		Loaded:              loaded,
		Role:                apiengine.Role(s.Role),
		TotalBlocks:         s.TotalBlocks,
		MaxBatch:            s.MaxBatch,
		MaxWaiting:          s.MaxWaiting,
		PrefillChunk:        s.PrefillChunk,
		StepBase:            s.StepBase,
		StepPerSequence:     s.StepPerSequence,
		StepPerPrefillToken: s.StepPerPrefillToken,
		Lengths:             lengths,
		LengthSeed:          uint64(s.LengthSeed),
		ReportEvery:         s.ReportInterval,
		ReportLag:           s.ReportLag,
		CacheLag:            s.CacheLag,
		CacheJitter:         s.CacheJitter,
		CacheLoss:           s.CacheLoss,
		Fence:               enginemodel.FenceMode(s.FenceMode),
		MaxLoaded:           s.MaxLoaded,
		LoadTime:            s.LoadTime,
	}, nil
}

// parseModels parses --model entries such as "writer@2+briefing+report": model
// writer, version 2, with the adapters briefing and report.
func parseModels(entries []string) ([]apiengine.Loaded, error) {
	var loaded []apiengine.Loaded
	for _, entry := range entries {
		model, rest, found := strings.Cut(entry, "@")
		parts := strings.Split(rest, "+")
		if !found || model == "" || parts[0] == "" {
			return nil, fmt.Errorf("--model: %q has no version; write name@version", entry)
		}
		loaded = append(loaded, apiengine.Loaded{Model: model, Version: parts[0], Adapters: parts[1:]})
	}
	return loaded, nil
}
