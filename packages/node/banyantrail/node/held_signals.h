#pragma once

#include <csignal>

#include "banyantrail/core/clock.h"

namespace banyantrail {

/// Holds back SIGTERM, SIGINT and SIGHUP, whose default action ends a process,
/// and ignores SIGPIPE, which a closed log pipe raises. Call first in main,
/// before any thread is started: threads inherit it. Needs no library but that
/// of C.
void HoldSignals();

/// Lets the signals through that HoldSignals held back, in this thread. Call
/// once their handlers are installed.
void ReleaseSignals();

/// Waits for one of the signals that HoldSignals holds back. Returns whether
/// the process is asked to end; a SIGHUP or the end of `timeout` is no such
/// request.
bool AwaitStopSignal(Duration timeout);

}  // namespace banyantrail
