// Package crankfakehttp serves the stand-ins of the log, the instance list and a
// worker over the HTTP protocol of package crankplatform. Errors are sent as JSON
// with the status code of their kind.
package crankfakehttp

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/pkg/crankwire"
	"cranberrycrank/standin/crankfakelist"
)

const maxBodyBytes = 4 << 20

// LogHandler serves appends to and long-polling reads of a log.
func LogHandler(l crank.Log) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}", func(rw http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, maxBodyBytes))
		if err != nil {
			writeError(rw, crank.Wrap("log append", crank.KindInvalid, err))
			return
		}
		offset, err := l.Append(r.Context(), crank.Stream(r.PathValue("stream")), data)
		writeJSON(rw, map[string]crank.Offset{"offset": offset}, err)
	})
	mux.HandleFunc("GET /streams/{stream}", func(rw http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
		limit, _ := strconv.Atoi(q.Get("limit"))
		wait, _ := time.ParseDuration(q.Get("wait"))
		batch, err := l.Read(r.Context(), crank.Stream(r.PathValue("stream")), crank.Offset(from), limit, wait)
		writeJSON(rw, batch, err)
	})
	return mux
}

// ListHandler serves the lagging instance list. PUT and DELETE change it.
func ListHandler(l *crankfakelist.List) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(rw http.ResponseWriter, r *http.Request) {
		instances, err := l.Instances(r.Context())
		if err != nil {
			writeError(rw, err)
			return
		}
		writeTaggedJSON(rw, r, instances)
	})
	mux.HandleFunc("PUT /instances", func(rw http.ResponseWriter, r *http.Request) {
		var i crank.Instance
		if err := decode(rw, r, &i); err != nil {
			writeError(rw, err)
			return
		}
		l.Put(i)
	})
	mux.HandleFunc("DELETE /instances/{id}", func(_ http.ResponseWriter, r *http.Request) {
		l.Remove(r.PathValue("id"))
	})
	return mux
}

// WorkerHandler serves each method of a worker as a POST with a JSON body.
func WorkerHandler(w crank.Worker) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /parts/reserve", func(rw http.ResponseWriter, r *http.Request) {
		var in crank.Reservation
		if err := decode(rw, r, &in); err != nil {
			writeError(rw, err)
			return
		}
		writeJSON(rw, struct{}{}, w.Reserve(r.Context(), in))
	})
	mux.HandleFunc("POST /parts/start", func(rw http.ResponseWriter, r *http.Request) {
		var in crank.Start
		if err := decode(rw, r, &in); err != nil {
			writeError(rw, err)
			return
		}
		writeJSON(rw, struct{}{}, w.Start(r.Context(), in))
	})
	mux.HandleFunc("POST /parts/fence", func(rw http.ResponseWriter, r *http.Request) {
		var in crank.Command
		if err := decode(rw, r, &in); err != nil {
			writeError(rw, err)
			return
		}
		status, err := w.Fence(r.Context(), in)
		writeJSON(rw, status, err)
	})
	mux.HandleFunc("POST /parts/stop", func(rw http.ResponseWriter, r *http.Request) {
		var in crank.Command
		if err := decode(rw, r, &in); err != nil {
			writeError(rw, err)
			return
		}
		status, err := w.Stop(r.Context(), in)
		writeJSON(rw, status, err)
	})
	mux.HandleFunc("POST /renew", func(rw http.ResponseWriter, r *http.Request) {
		var in crank.Renewal
		if err := decode(rw, r, &in); err != nil {
			writeError(rw, err)
			return
		}
		report, err := w.Renew(r.Context(), in)
		writeJSON(rw, report, err)
	})
	mux.HandleFunc("POST /answer", func(rw http.ResponseWriter, r *http.Request) {
		var in crank.AnswerRequest
		if err := decode(rw, r, &in); err != nil {
			writeError(rw, err)
			return
		}
		data, err := w.Answer(r.Context(), in)
		writeJSON(rw, data, err)
	})
	mux.HandleFunc("POST /forget", func(rw http.ResponseWriter, r *http.Request) {
		var in []crank.AttemptID
		if err := decode(rw, r, &in); err != nil {
			writeError(rw, err)
			return
		}
		writeJSON(rw, struct{}{}, w.Forget(r.Context(), in))
	})
	return mux
}

func decode(rw http.ResponseWriter, r *http.Request, into any) error {
	err := json.NewDecoder(http.MaxBytesReader(rw, r.Body, maxBodyBytes)).Decode(into)
	return crank.Wrap("request decode", crank.KindInvalid, err)
}

func writeJSON(rw http.ResponseWriter, value any, err error) {
	if err != nil {
		writeError(rw, err)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(value)
}

// writeTaggedJSON writes a value with an entity tag, or status 304 without a
// body when the tag matches If-None-Match.
func writeTaggedJSON(rw http.ResponseWriter, r *http.Request, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		writeError(rw, err)
		return
	}
	tag := fmt.Sprintf(`"%x"`, sha256.Sum256(data))
	rw.Header().Set("Etag", tag)
	if r.Header.Get("If-None-Match") == tag {
		rw.WriteHeader(http.StatusNotModified)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	_, _ = rw.Write(data)
}

func writeError(rw http.ResponseWriter, err error) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(crankwire.Status(crank.KindOf(err)))
	_ = json.NewEncoder(rw).Encode(crankwire.NewProblem(err))
}
