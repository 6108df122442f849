#include "banyantrail/node/daemon.h"

#include <tclap/CmdLine.h>

#include <iostream>
#include <optional>
#include <string>
#include <utility>

#include "banyantrail/core/errors.h"
#include "banyantrail/core/logging.h"
#include "banyantrail/node/held_signals.h"
#include "banyantrail/node/node.h"
#include "banyantrail/node/port_wait.h"
#include "banyantrail/node/settings.h"
#include "banyantrail/platform/deployment.h"
#include "banyantrail/platform/environment.h"
#include "banyantrail/platform/wire_values.h"

namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

struct CommandLine {
  /// Path of a settings file in the native format, or empty.
  std::string settings;
  /// Path of a settings file in the format of the deployment platform, or
  /// empty.
  std::string deployment;
};

/// Parses the command line. TCLAP exits the process for --help and --version.
CommandLine ParseCommandLine(int argc, char** argv) {
  TCLAP::CmdLine command(
      "banyantraild routes requests from callers to backend servers according "
      "to the configuration declared by operators.",
      ' ', BANYANTRAIL_VERSION);
  TCLAP::ValueArg<std::string> settings(
      "s", "settings", "JSON file with the settings of the node", true, "",
      "file");
  TCLAP::ValueArg<std::string> deployment(
      "d", "deployment",
      "JSON file with settings in the format of the deployment platform", true,
      "", "file");
  command.xorAdd(settings, deployment);
  command.parse(argc, argv);
  return {.settings = settings.getValue(), .deployment = deployment.getValue()};
}

int RunWithSettings(const std::string& path) {
  const banyantrail::NodeSettings settings =
      banyantrail::LoadNodeSettings(path);
  banyantrail::ConfigureLogging(settings.log_level, settings.node.str());
  banyantrail::Node node(settings);
  banyantrail::ReleaseSignals();
  node.Run();
  return kExitOk;
}

/// Loads the settings file. The platform may be writing it at this moment, so
/// that an invalid file is read again for a while.
std::optional<banyantrail::platform::Deployment> AwaitDeployment(
    const std::string& path) {
  constexpr banyantrail::Duration kMaxWait = banyantrail::seconds(2);
  constexpr banyantrail::milliseconds kPollInterval{50};
  const banyantrail::SystemClock clock;
  const banyantrail::TimePoint deadline = clock.Now() + kMaxWait;
  while (true) {
    try {
      return banyantrail::platform::LoadDeployment(path);
    } catch (const banyantrail::Error&) {
      if (clock.Now() >= deadline) {
        throw;
      }
    }
    if (banyantrail::AwaitStopSignal(kPollInterval)) {
      return std::nullopt;
    }
  }
}

int RunWithDeployment(const std::string& path) {
  const auto loaded = AwaitDeployment(path);
  if (!loaded) {
    return kExitOk;
  }
  const banyantrail::platform::Deployment& deployment = *loaded;
  banyantrail::ConfigureLogging(deployment.node.log_level,
                                deployment.node.node.str());
  if (!banyantrail::AwaitFreePorts(deployment.Endpoints())) {
    return kExitOk;
  }
  banyantrail::Node node(
      deployment.node,
      {.dialect = banyantrail::platform::PlatformDialect(),
       .make_environment = [&](banyantrail::NodeServices services) {
         return banyantrail::platform::MakeEnvironment(std::move(services),
                                                       deployment, path);
       }});
  banyantrail::ReleaseSignals();
  node.Run();
  return kExitOk;
}

int RunNode(const CommandLine& command_line) {
  return command_line.deployment.empty()
             ? RunWithSettings(command_line.settings)
             : RunWithDeployment(command_line.deployment);
}

int ReportError(const banyantrail::Error& error) {
  std::cerr << "banyantraild: " << error.what() << std::endl;
  return error.kind() == banyantrail::ErrorKind::kInvalidSettings
             ? kExitUsage
             : kExitFailure;
}

}  // namespace

int BanyantrailDaemon(int argc, char** argv) {
  try {
    return RunNode(ParseCommandLine(argc, argv));
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus() == 0 ? kExitOk : kExitUsage;
  } catch (const banyantrail::Error& error) {
    return ReportError(error);
  } catch (const std::exception& error) {
    std::cerr << "banyantraild: " << error.what() << std::endl;
    return kExitFailure;
  }
}
