#pragma once

/// The node daemon, with the arguments of main. Returns the exit status. The
/// program loads it from a shared library, by this name. Call after
/// banyantrail::HoldSignals.
extern "C" int BanyantrailDaemon(int argc, char** argv);
