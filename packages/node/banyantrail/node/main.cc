// The program of the node daemon. One process runs on each backend server VM.
//
// Loading the libraries of the daemon takes milliseconds, and much more on a
// part of a core. A signal in that time would end the process, so this program
// needs no library but that of C: it holds the signals back and then loads the
// daemon.

#include <dlfcn.h>

#include <bit>
#include <cstdio>

#include "banyantrail/node/daemon.h"
#include "banyantrail/node/held_signals.h"

namespace {

constexpr int kExitFailure = 1;

int ReportLoadError() {
  std::fprintf(stderr,
               "banyantraild: cannot load the daemon: %s; keep its library "
               "beside the program\n",
               dlerror());
  return kExitFailure;
}

}  // namespace

int main(int argc, char** argv) {
  banyantrail::HoldSignals();
  void* const library = dlopen(BANYANTRAIL_DAEMON_LIBRARY, RTLD_NOW);
  if (library == nullptr) {
    return ReportLoadError();
  }
  void* const symbol = dlsym(library, "BanyantrailDaemon");
  if (symbol == nullptr) {
    return ReportLoadError();
  }
  return std::bit_cast<decltype(&BanyantrailDaemon)>(symbol)(argc, argv);
}
