// Package apcode defines the numbered result codes that every refusal, error and answer of
// auburnport carries.
package apcode

import (
	"fmt"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// Code is a numbered result code. The zero value means success.
type Code uint16

// Codes of the request path.
const (
	OK                  Code = 0
	NoSuchService       Code = 1001
	BadRequest          Code = 1002
	BodyTooLarge        Code = 1003
	QueueFull           Code = 1010
	DeadlineUnreachable Code = 1011
	NoInstance          Code = 1012
	Leaving             Code = 1013
	ClaimUnavailable    Code = 1014
	ClaimInFlight       Code = 1015
	ClaimSpent          Code = 1016
	NotRunByBackend     Code = 1017
	DeadlineExpired     Code = 1018
	RetriesExhausted    Code = 1019
	OutcomeUnknown      Code = 1030
	AnswerTimeout       Code = 1031
	AnswerCutShort      Code = 1032
)

// Codes of settings.
const (
	SettingsSyntax   Code = 2001
	UnknownKey       Code = 2002
	BadValue         Code = 2003
	DuplicateKey     Code = 2004
	BadAddress       Code = 2005
	BadPath          Code = 2006
	NoSuchNode       Code = 2007
	SettingsConflict Code = 2008
	MissingKey       Code = 2010
	SettingFixed     Code = 2011
)

// Codes of the platform's store and of leases.
const (
	StoreUnavailable Code = 3001
	StoreConflict    Code = 3002
	StoreUnknown     Code = 3003
	ValueTooLarge    Code = 3004
	LeaseLost        Code = 3005
	StoreRegressed   Code = 3006
	StoreHistoryLost Code = 3007
	PermitExpired    Code = 3008
)

// Codes of disruptions, pools and waves.
const (
	BudgetExceeded Code = 4001
	NoSuchVM       Code = 4002
	NoSuchPool     Code = 4003
	VMDisrupted    Code = 4004
	WaveActive     Code = 4005
	NoSuchWave     Code = 4006
	StaleOperation Code = 4007
	PlatformFailed Code = 4008
)

// Codes of the mesh between entries.
const (
	BadMessage      Code = 5001
	VersionMismatch Code = 5002
	Unauthorized    Code = 5003
	PeerUnreachable Code = 5004
	SendQueueFull   Code = 5005
	StaleView       Code = 5006
	ReplyLost       Code = 5007
)

// Codes of jobs, tasks and workers.
const (
	NoSuchTask     Code = 6003
	TaskDoesNotFit Code = 6004
	BadJob         Code = 6010
	NoSuchQueue    Code = 6011
	NoSuchJob      Code = 6012
	JobUnsettled   Code = 6013
	SettingsStale  Code = 6014
	JobCancelled   Code = 6015
	CancelsLimited Code = 6016
	StaleFence     Code = 6020
	StaleRun       Code = 6021
	OrderLate      Code = 6022
	BadTicket      Code = 6023
	WorkerChanged  Code = 6024
	WorkerRefused  Code = 6025
	WorkerSilent   Code = 6026
	OrderBusy      Code = 6027
	WorkerGone     Code = 6028
)

// InvariantBroken is the code of a load test or a trial that found a broken invariant.
const InvariantBroken Code = 7001

// Panicked is the code of a component of the process that panicked and is restarted.
const Panicked Code = 7002

// Description is a row of the table of result codes.
type Description struct {
	// Code is unique among all descriptions.
	Code Code
	// Name is the code's name in Pascal case.
	Name string
	// Status is the HTTP status that carries the code.
	Status int
	// NotRun is true if the request reached no backend server, or the backend server reported that it did not
	// run it.
	NotRun bool
	// Meaning says what happened.
	Meaning string
	// Action says what the receiver should do.
	Action string
}

// Describe returns the description of code. An unknown code is named after its number and has status 500.
func Describe(code Code) Description {
	if d, ok := byCode()[code]; ok {
		return d
	}
	return Description{Code: code, Name: fmt.Sprintf("Code%d", code), Status: http.StatusInternalServerError}
}

// byCode indexes the table of result codes.
var byCode = sync.OnceValue(func() map[Code]Description {
	index := make(map[Code]Description)
	for _, d := range descriptions() {
		index[d.Code] = d
	}
	return index
})

// All returns every description in ascending order of code.
func All() []Description { return descriptions() }

// String returns the code's name.
func (c Code) String() string { return Describe(c).Name }

// Error is an error with a result code.
type Error struct {
	// Code is never OK.
	Code Code
	// Detail says what was wrong in this case.
	Detail string
}

// Error returns the number, the name and the detail.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", uint16(e.Code), e.Code, e.Detail)
}

// Errorf returns an Error of the given code without a stack trace.
func Errorf(code Code, format string, args ...any) error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Wrapf returns an Error of the given code whose detail is the message followed by cause, with cause attached
// as a secondary error.
func Wrapf(code Code, cause error, format string, args ...any) error {
	return errors.WithSecondaryError(Errorf(code, "%s: %v", fmt.Sprintf(format, args...), cause), cause)
}

// Of returns the code that err carries, OK for nil, and BadMessage for an error without a code.
func Of(err error) Code {
	if err == nil {
		return OK
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return BadMessage
}

// Is reports whether err carries code.
func Is(err error, code Code) bool { return err != nil && Of(err) == code }
