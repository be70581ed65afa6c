package crankfakeworker

import (
	"bytes"
	"encoding/json"
	"time"
)

// PayloadSpec is the JSON form of a payload that controls how the stand-in
// worker runs it. Other payloads run for defaultRunTime and succeed.
type PayloadSpec struct {
	RunMS       int  `json:"run-ms"`       // run time in milliseconds
	AnswerBytes int  `json:"answer-bytes"` // minimum size of the answer
	Fail        bool `json:"fail"`         // the task fails at the end of its run
}

const defaultRunTime = 50 * time.Millisecond

// ParsePayload decodes a payload and returns the run time of its task.
func ParsePayload(payload []byte) (spec PayloadSpec, run time.Duration) {
	if err := json.Unmarshal(payload, &spec); err != nil || spec.RunMS <= 0 {
		return spec, defaultRunTime
	}
	return spec, time.Duration(spec.RunMS) * time.Millisecond
}

// Answer returns the answer to a payload: a fixed prefix and the payload, repeated
// up to AnswerBytes.
func Answer(payload []byte) []byte {
	spec, _ := ParsePayload(payload)
	answer := append([]byte("answer to "), payload...)
	if spec.AnswerBytes <= len(answer) {
		return answer
	}
	return bytes.Repeat(answer, spec.AnswerBytes/len(answer)+1)[:spec.AnswerBytes]
}
