// Package explain holds the question what would become of a request at a router now, and its answer, as
// routers and chicoryctl exchange them. The answer never contains the API key.
package explain

// Query is a request as a caller would send it.
type Query struct {
	ID         string // picks the service of a split route and the servers that are compared
	Host, Path string
	Key        string // API key; empty if there is none
	// HasTokens is set if PromptTokens and OutputTokens are stated.
	HasTokens    bool
	PromptTokens int
	OutputTokens int
	Parts        []Part
	TimeoutMS    int64 // 0 if the caller states none
}

// WouldWait is the outcome of a request that admission lets wait.
const WouldWait = "would wait"

// Part is a part of the prompt.
type Part struct {
	ID     string
	Tokens int
}

// Report says what would become of the request at one router.
type Report struct {
	Router        string  `json:"router"`
	FailureDomain string  `json:"failure_domain"`
	Config        int64   `json:"config_version"`
	Route         string  `json:"route,omitempty"`
	Account       string  `json:"account,omitempty"`
	Priority      int     `json:"priority"`
	Service       string  `json:"service,omitempty"`
	DeadlineMS    float64 `json:"deadline_ms,omitempty"` // time left to answer; 0 if there is no deadline
	// Refusal is the answer that the caller would get; nil if the request would be sent.
	Refusal   *Refusal   `json:"refusal,omitempty"`
	Budget    *Budget    `json:"budget,omitempty"`
	Admission *Admission `json:"admission,omitempty"`
	// Servers are in the order of the choice.
	Servers []Server `json:"servers"`
	LeftOut []Server `json:"left_out"`
	// Notes tell what depends on other processes and was not asked.
	Notes []string `json:"notes,omitempty"`
}

// Refusal is a refusal as the caller would get it.
type Refusal struct {
	Cause        string  `json:"cause"`
	Detail       string  `json:"detail,omitempty"`
	Status       int     `json:"status"`
	RetryAfterMS float64 `json:"retry_after_ms,omitempty"`
}

// Budget tells about the tokens that the request would reserve.
type Budget struct {
	Tokens    int64 `json:"tokens"`
	Available int64 `json:"available"` // of this router's own grant
	Covered   bool  `json:"covered"`
}

// Admission is the decision on who gets the capacity of full servers, with its inputs.
type Admission struct {
	Limited    bool    `json:"limited"`
	Limit      float64 `json:"limit,omitempty"`
	InProgress int     `json:"in_progress"`
	Waiting    int     `json:"waiting"`
	// Share is that of the request's class, in requests in progress; nil if it gets all it asks for.
	Share *float64 `json:"share,omitempty"`
	// Used is what the class uses of it.
	Used float64 `json:"used"`
	// AdmittedBelow is the use below which another request like this is admitted, so that the average use is the
	// share; nil if Share is, and from routers of older versions.
	AdmittedBelow *float64 `json:"admitted_below,omitempty"`
	Outcome       string   `json:"outcome"` // admitted, would wait, or the cause of a refusal
	WaitMS        float64  `json:"wait_ms,omitempty"`
	RequestMS     float64  `json:"request_ms"` // how long the request is expected to take at a server
	// Reports of servers that the limit follows.
	Servers     int     `json:"servers"`
	Reported    int     `json:"reported"`
	Full        int     `json:"full"`
	Slots       float64 `json:"slots"`
	Load        float64 `json:"load"`
	ReportAgeMS float64 `json:"report_age_ms"`
	// Measured is set if there are such figures, MeasuredAgeMS is their age.
	Measured      bool    `json:"measured"`
	MeasuredAgeMS float64 `json:"measured_age_ms"`
}

// Server is a server with the parts of its estimate, or why it is left out.
type Server struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	// Why is the reason for leaving it out, or "in backoff" for a server behind all others.
	Why    string  `json:"why,omitempty"`
	WaitMS float64 `json:"wait_ms,omitempty"` // until it may get requests, if known
	CostMS float64 `json:"cost_ms"`
	// QueueMS, ReadingMS and Pace are set if Predicted is, else the cost follows from Running and UnreadTokens.
	Predicted bool    `json:"predicted"`
	QueueMS   float64 `json:"queue_ms"`
	ReadingMS float64 `json:"reading_ms"`
	Pace      float64 `json:"pace"`
	PaceAgeMS float64 `json:"pace_age_ms"` // -1 if it is old; set only if Predicted
	Running   float64 `json:"running"`
	Slots     int     `json:"slots"` // requests that the server runs at the same time; 0 if unknown
	// Reported is set if the server's last load report is recent enough to count for Running, ReportAgeMS is then
	// its age. Without one only this router's own requests are known.
	Reported     bool    `json:"reported"`
	ReportAgeMS  float64 `json:"report_age_ms"`
	CachedTokens float64 `json:"cached_tokens"`
	UnreadTokens float64 `json:"unread_tokens"`
	OtherDomain  bool    `json:"other_failure_domain"`
	Paced        bool    `json:"paced"`
}
