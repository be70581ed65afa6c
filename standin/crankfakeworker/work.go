package crankfakeworker

import (
	"bytes"
	"encoding/json"
	"time"
)

// Work is what a payload asks of the stand-in worker. A payload that is no
// such JSON runs for a short while and answers with itself.
type Work struct {
	RunMS       int  `json:"run-ms"`
	AnswerBytes int  `json:"answer-bytes"`
	Fail        bool `json:"fail"`
}

const defaultRun = 50 * time.Millisecond

// ParseWork reads a payload.
func ParseWork(payload []byte) (w Work, run time.Duration) {
	if err := json.Unmarshal(payload, &w); err != nil || w.RunMS <= 0 {
		return w, defaultRun
	}
	return w, time.Duration(w.RunMS) * time.Millisecond
}

// Answer returns the answer to a payload: the payload behind a fixed prefix,
// repeated up to the size that the payload asks for.
func Answer(payload []byte) []byte {
	w, _ := ParseWork(payload)
	answer := append([]byte("answer to "), payload...)
	if w.AnswerBytes <= len(answer) {
		return answer
	}
	return bytes.Repeat(answer, w.AnswerBytes/len(answer)+1)[:w.AnswerBytes]
}
