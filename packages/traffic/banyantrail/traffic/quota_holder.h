#pragma once

#include <cstdint>
#include <map>

#include "banyantrail/core/ids.h"
#include "banyantrail/traffic/quota_bucket.h"

namespace banyantrail {

/// A node's request for tokens of one team.
struct QuotaAsk {
  NodeId from;
  /// Tokens for requests that wait.
  std::uint32_t tokens = 0;
  /// Further tokens, for requests that the node expects.
  std::uint32_t prefetch = 0;

  friend bool operator==(const QuotaAsk&, const QuotaAsk&) = default;
};

struct QuotaGrant {
  std::uint32_t granted = 0;
  /// If fewer than `tokens` were granted: when to ask this holder again.
  Duration retry_after{};

  friend bool operator==(const QuotaGrant&, const QuotaGrant&) = default;
};

/// Lends the tokens of one team's part of one failure domain.
class QuotaHolder {
 public:
  /// The bucket refills from `start` on.
  explicit QuotaHolder(TimePoint start) : m_bucket(start) {}

  void SetShare(const QuotaShare& share, TimePoint now);

  QuotaGrant Lend(const QuotaAsk& ask, TimePoint now);

 private:
  void ForgetReturned(TimePoint now);
  Duration RetryAfter(const NodeId& from, TimePoint now);

  QuotaBucket m_bucket;
  /// When the nodes that were refused return.
  std::map<NodeId, TimePoint> m_returns;
  TimePoint m_next_cleanup = TimePoint::min();
};

}  // namespace banyantrail
