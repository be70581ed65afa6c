package crankfakenet

// Mode is what a Listener does with connections.
type Mode string

// Modes.
const (
	ModePass      Mode = ""
	ModeSilent    Mode = "silent"       // bytes are dropped in both directions
	ModeOneWay    Mode = "one-way"      // requests arrive, responses are dropped
	ModeReset     Mode = "reset"        // open and new connections are reset
	ModeRefuse    Mode = "refuse"       // nothing listens
	ModeLate      Mode = "late-answers" // requests arrive, responses follow when the mode ends
	ModeNoAccept  Mode = "no-accept"    // open connections serve on, new ones wait to be accepted
	ModeFullQueue Mode = "full-queue"   // the same, and no more can wait
)

// dropsBytes reports whether connections lose bytes, so that they can't go on afterwards.
func (m Mode) dropsBytes() bool { return m == ModeSilent || m == ModeOneWay }

// accepts reports whether new connections are accepted.
func (m Mode) accepts() bool { return m != ModeNoAccept && m != ModeFullQueue }
