// Measures how much retries amplify the load on a chain of services with
// failing backend servers, with and without retry budgets and with retries at
// one or at every layer.

#include <tclap/CmdLine.h>

#include <cstdio>
#include <vector>

#include "bench/retry_chain.h"

namespace {

using banyantrail::RetryPolicyOptions;
using banyantrail::bench::RetryChainOptions;
using banyantrail::bench::RetryChainResult;
using banyantrail::bench::RunRetryChain;

struct Policy {
  const char* name;
  RetryPolicyOptions options;
};

const std::vector<Policy>& Policies() {
  static const std::vector<Policy> policies = {
      {.name = "no retries", .options = {.max_attempts = 1}},
      {.name = "budget, outermost layer", .options = {}},
      {.name = "budget, every layer",
       .options = {.outermost_layer_only = false}},
      {.name = "no budget, outermost layer", .options = {.use_budget = false}},
      {.name = "no budget, every layer",
       .options = {.use_budget = false, .outermost_layer_only = false}}};
  return policies;
}

void PrintRow(const Policy& policy, const RetryChainOptions& options) {
  const RetryChainResult result = RunRetryChain(options);
  std::printf("| %s | %.1f | %.2f | %.3f | %.3f |\n", policy.name,
              100.0 * options.failing_servers / options.servers_per_service,
              100.0 * static_cast<double>(result.succeeded) /
                  static_cast<double>(result.calls),
              result.Amplification(options.depth),
              result.AttemptsPerFirstAttempt());
}

}  // namespace

int main(int argc, char** argv) {
  TCLAP::CmdLine command("Measures retry amplification in a chain of calls.");
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of the run.", false, 1,
                                      "number", command);
  command.parse(argc, argv);
  std::printf(
      "| policy | failing servers %% | successful %% | attempts / attempts "
      "without failures | attempts / first attempts "
      "|\n|---|---|---|---|---|\n");
  for (const std::uint32_t failing : {1U, 3U}) {
    for (const Policy& policy : Policies()) {
      PrintRow(policy, {.policy = policy.options,
                        .seed = seed.getValue(),
                        .failing_servers = failing});
    }
  }
  return 0;
}
