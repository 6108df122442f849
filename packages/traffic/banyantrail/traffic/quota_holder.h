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
  /// If nothing was granted: when the node should ask again.
  Duration retry_after{};

  friend bool operator==(const QuotaGrant&, const QuotaGrant&) = default;
};

/// Lends the tokens of one team's part of one failure domain.
class QuotaHolder {
 public:
  /// The bucket refills from `start` on.
  explicit QuotaHolder(TimePoint start) : m_bucket(start) {}

  void SetShare(const QuotaShare& share, double max_unspent, TimePoint now);

  QuotaGrant Lend(const QuotaAsk& ask, TimePoint now);

 private:
  struct Asker {
    TimePoint asked_at;
    /// When the asker was told to return; TimePoint::min() if it was not.
    TimePoint returns_at = TimePoint::min();
  };

  void ForgetAskers(TimePoint now);
  std::uint32_t PrefetchFor(const QuotaAsk& ask) const;
  Duration RetryAfter(const NodeId& from, TimePoint now);

  QuotaBucket m_bucket;
  double m_max_unspent = 0;
  /// The nodes that asked lately; each may hold unspent tokens.
  std::map<NodeId, Asker> m_askers;
  TimePoint m_next_cleanup = TimePoint::min();
};

}  // namespace banyantrail
