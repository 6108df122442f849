#pragma once

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/ip_endpoint.h"

namespace banyantrail::ctl {

/// A node's answer to one request.
struct NodeAnswer {
  unsigned http_status = 0;
  /// Null if the body was not JSON.
  nlohmann::json body;
};

/// Talks to the admin listener of one node, one request at a time.
class NodeClient {
 public:
  struct Options {
    IpEndpoint node;
    milliseconds timeout{10'000};
  };

  explicit NodeClient(Options options) : m_options(std::move(options)) {}

  /// Both throw Error{kNetwork} when the node surely did not get the request,
  /// Error{kOutcomeUnknown} when it may have.
  NodeAnswer Get(const std::string& target);
  NodeAnswer Post(const std::string& target, const std::string& body);

 private:
  Options m_options;
};

}  // namespace banyantrail::ctl
