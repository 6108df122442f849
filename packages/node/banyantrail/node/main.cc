// The node: one process on each backend server VM.

#include <tclap/CmdLine.h>

#include <iostream>
#include <string>

#include "banyantrail/core/errors.h"
#include "banyantrail/core/logging.h"
#include "banyantrail/node/node.h"
#include "banyantrail/node/settings.h"

namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

/// Parses the command line. TCLAP itself exits for --help and --version.
std::string SettingsPath(int argc, char** argv) {
  TCLAP::CmdLine command(
      "banyantraild routes callers' requests to backend servers under the "
      "configuration that operators declared.",
      ' ', BANYANTRAIL_VERSION);
  TCLAP::ValueArg<std::string> settings("s", "settings",
                                        "JSON file with the node's settings",
                                        true, "", "file", command);
  command.parse(argc, argv);
  return settings.getValue();
}

int RunNode(const std::string& path) {
  const banyantrail::NodeSettings settings =
      banyantrail::LoadNodeSettings(path);
  banyantrail::ConfigureLogging(settings.log_level);
  banyantrail::Node node(settings);
  node.Run();
  return kExitOk;
}

int ReportError(const banyantrail::Error& error) {
  std::cerr << "banyantraild: " << error.what() << std::endl;
  return error.kind() == banyantrail::ErrorKind::kInvalidSettings
             ? kExitUsage
             : kExitFailure;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return RunNode(SettingsPath(argc, argv));
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus() == 0 ? kExitOk : kExitUsage;
  } catch (const banyantrail::Error& error) {
    return ReportError(error);
  } catch (const std::exception& error) {
    std::cerr << "banyantraild: " << error.what() << std::endl;
    return kExitFailure;
  }
}
