package predict

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Server is what is known about one process of a backend server. Its zero value knows nothing. It is safe for
// concurrent use.
type Server struct {
	mu sync.Mutex
	// tempo is the last tempo known, at tempoAt.
	tempo   float64
	tempoAt time.Time
	// told is the last pace reported, 1 being normal, at toldAt.
	told   float64
	toldAt time.Time
	// level is the server's normal pace as reported; 0 if unknown.
	level float64
	// logSpeed is the logarithm of how much longer work takes than the reported pace says.
	logSpeed float64
	// others is the number of other routers' requests in progress, as last reported, and meanOthers its mean.
	others, meanOthers float64
	// streams are this router's requests in progress.
	streams []*Stream
}

// Stream is one of this router's requests in progress at a server.
type Stream struct {
	model   *Model
	service *Service
	server  *Server
	work    Work
	// blocked is set while the router waits for the caller to take an event.
	blocked atomic.Bool
	sentAt  time.Time
	// lastAt is the time of the last event; before the first one, the time at which that is expected.
	lastAt time.Time
	events int
	gaps   [3]float64 // the last ones, in ms
}

func (s *Server) observeReport(p Params, told, others float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.toldAt.IsZero() {
		s.level, s.meanOthers = p.level, p.others
	}
	s.others = others
	s.meanOthers += serverWeight * (others - s.meanOthers)
	if told < slowFrom*p.level {
		s.level += serverWeight * (told - s.level)
	}
	s.told, s.toldAt = told, now
	tempo := told * math.Exp(s.logSpeed)
	if now.Sub(s.tempoAt) < reportDelay {
		tempo = (tempo + s.tempo) / 2 // events that are more recent than the report
	}
	s.tempo, s.tempoAt = tempo, now.Add(-reportDelay)
}

// Begin records that a request is sent to a server for which e was estimated. End must be called when it has
// ended.
func (m *Model) Begin(service *Service, server *Server, w Work, e Estimate, now time.Time) *Stream {
	m.seen(now)
	stream := &Stream{model: m, service: service, server: server, work: w, sentAt: now, lastAt: now.Add(duration(e.FirstMs))}
	stream.work.running = e.Running
	server.mu.Lock()
	defer server.mu.Unlock()
	server.streams = append(server.streams, stream)
	return stream
}

// Event records an event. It does nothing if the stream is nil, as the methods below.
func (st *Stream) Event(now time.Time) {
	switch {
	case st == nil:
	case st.events == 0:
		st.model.ObserveFirstEvent(st, now)
	default:
		st.model.ObserveGap(st, now)
	}
}

// BeginWrite records that the router starts to pass an event on to the caller. Until EndWrite the server's next
// event is not waited for.
func (st *Stream) BeginWrite() {
	if st != nil {
		st.blocked.Store(true)
	}
}

// EndWrite records that the caller took the event, and how long that took.
func (st *Stream) EndWrite(took time.Duration) {
	if st == nil {
		return
	}
	if took > slowWrite {
		st.server.mu.Lock()
		st.lastAt, st.events = st.lastAt.Add(took), 1
		st.server.mu.Unlock()
	}
	st.blocked.Store(false)
}

// slowWrite is the time for passing on an event from which the gap to the next one says nothing about the server.
const slowWrite = 5 * time.Millisecond

// End removes the stream from those in progress.
func (st *Stream) End() {
	if st == nil {
		return
	}
	s := st.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.streams, st); i >= 0 {
		s.streams = slices.Delete(s.streams, i, i+1)
	}
}

// ObserveFirstEvent records the first event of a stream, or a whole answer that is not a stream.
func (m *Model) ObserveFirstEvent(st *Stream, now time.Time) {
	resumedAt := m.seen(now)
	s := st.server
	s.mu.Lock()
	st.lastAt = now
	st.events = 1
	tempo, known := s.tempo, now.Sub(s.toldAt) < freshReport
	s.mu.Unlock()
	if ms := milliseconds(now.Sub(st.sentAt)); known && ms > 0 && !st.sentAt.Before(resumedAt) {
		st.service.observeFirst(ms/clamp(tempo, minTempo, maxTempo), st.work)
	}
}

// ObserveGap records another event of a stream.
func (m *Model) ObserveGap(st *Stream, now time.Time) {
	s := st.server
	p, _ := m.Params(st.service, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	last := st.lastAt
	st.lastAt = now
	if last.Before(p.resumedAt) || now.Before(last) {
		st.events = 1
		return
	}
	st.gaps[st.events%len(st.gaps)] = milliseconds(now.Sub(last))
	st.events++
	if st.events <= len(st.gaps) {
		return
	}
	// The median leaves out an event that waited for a prompt to be read, and two that arrived together.
	gap := median(st.gaps)
	if gap <= 0 {
		return
	}
	if now.Sub(s.toldAt) < freshReport {
		s.learnSpeed(st.service, p, gap)
	}
	if p.gap > 0 && gap > minGapShare*p.gap { // else several events were received together
		s.blend(clamp(gap/p.gap, minTempo, maxTempo), now)
	}
}

// minGapShare is the share of the normal gap below which events did not arrive when they were sent.
const minGapShare = 0.5

// learnSpeed compares a gap with the pace that the server reported just before it.
func (s *Server) learnSpeed(service *Service, p Params, gap float64) {
	service.observeGap(gap, s.told*math.Exp(s.logSpeed))
	if p.gap == 0 {
		return
	}
	deviation := clamp(math.Log(gap/(p.gap*s.told))-s.logSpeed, -maxLogError, maxLogError)
	const weight, shrink = 0.05, 0.005 // shrink draws speeds to the service's mean
	s.logSpeed = clamp((s.logSpeed+weight*deviation)*(1-shrink), -maxLogSpeed, maxLogSpeed)
}

// blend replaces the tempo gradually, since the streams of a server are not served at the same moment.
func (s *Server) blend(tempo float64, now time.Time) {
	elapsed := now.Sub(s.tempoAt)
	if s.tempoAt.IsZero() || elapsed > tempoDecay {
		s.tempo = tempo
	} else {
		s.tempo += (tempo - s.tempo) * max(0.2, 1-math.Exp(-float64(elapsed)/float64(gapDecay)))
	}
	s.tempoAt = now
}

// stall returns how long the stream that waits longest for its next event has been waiting, in ms.
func (s *Server) stall(now, resumedAt time.Time) float64 {
	longest := 0.0
	for _, st := range s.streams {
		if st.blocked.Load() {
			continue
		}
		since := st.lastAt
		if since.Before(resumedAt) {
			since = resumedAt
		}
		longest = max(longest, milliseconds(now.Sub(since)))
	}
	return min(longest, maxStall)
}

// unread returns the prompt tokens of the streams that have no event yet.
func (s *Server) unread() float64 {
	sum := 0.0
	for _, st := range s.streams {
		if st.events == 0 {
			sum += st.work.Unread
		}
	}
	return sum
}

func median(x [3]float64) float64 {
	return max(min(x[0], x[1]), min(max(x[0], x[1]), x[2]))
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

func duration(ms float64) time.Duration {
	return time.Duration(clamp(ms, 0, 1e7) * float64(time.Millisecond))
}
