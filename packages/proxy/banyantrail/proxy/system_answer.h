#pragma once

#include <string>
#include <string_view>

#include "banyantrail/net/http_types.h"
#include "banyantrail/proxy/connection.h"

namespace banyantrail {

/// What the system knows of a request that it answers itself.
enum class SystemOutcome {
  /// It provably did not run and may be sent again.
  kNotRun,
  /// It may have run.
  kUnknown,
};

/// An answer that the system makes in place of a backend server.
struct SystemAnswer {
  http::status status = http::status::service_unavailable;
  SystemOutcome outcome = SystemOutcome::kNotRun;
  /// snake_case, as counted in the metrics.
  std::string reason;
  /// What the caller can do.
  std::string remedy;
  /// The backend server's load for the node that asked, if it is known.
  std::string load;
  /// HTTP status of the recorded answer of an order that ran before; 0 when
  /// there is none.
  unsigned recorded_status = 0;
  /// When another try makes sense; 0 for no advice.
  Duration retry_after{};
  /// Write the advice in fractions of a second instead of whole ones.
  bool fractional_retry_after = false;
};

/// Builds the HTTP message of a system answer.
HttpResponse BuildSystemAnswer(const SystemAnswer& answer);

/// Sends the message; errors only mark the connection for closing.
asio::awaitable<void> SendSystemAnswer(Downstream& downstream,
                                       SystemAnswer answer,
                                       bool keep_alive);

}  // namespace banyantrail
