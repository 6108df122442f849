#include "banyantrail/node/held_signals.h"

#include <ctime>

namespace banyantrail {
namespace {

sigset_t HeldSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
    sigaddset(&signals, signal);
  }
  return signals;
}

}  // namespace

void HoldSignals() {
  const sigset_t signals = HeldSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void ReleaseSignals() {
  const sigset_t signals = HeldSignals();
  pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

bool AwaitStopSignal(Duration timeout) {
  const sigset_t signals = HeldSignals();
  const auto whole = std::chrono::duration_cast<seconds>(timeout);
  const auto rest =
      std::chrono::duration_cast<std::chrono::nanoseconds>(timeout - whole);
  const timespec wait{.tv_sec = whole.count(), .tv_nsec = rest.count()};
  const int signal = sigtimedwait(&signals, nullptr, &wait);
  return signal == SIGTERM || signal == SIGINT;
}

}  // namespace banyantrail
