#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "banyantrail/core/clock.h"
#include "banyantrail/traffic/request_fingerprints.h"
#include "banyantrail/wire/peer_messages.h"

namespace banyantrail {

/// Settings of Quarantine.
struct QuarantineOptions {
  /// How long a request is refused if it was the only suspect of a crash.
  Duration max_refusal_time = std::chrono::minutes(5);
  /// Minimum time for which a request is refused.
  Duration min_refusal_time = seconds(10);
  /// How long a suspect is remembered after its last crash, or after the end of
  /// its refusal.
  Duration suspect_retention_time = seconds(60);
  /// Crashes with more suspects are ignored, as they give hardly any evidence
  /// against a single one.
  std::size_t max_suspects = 64;
  /// A request that completed less than this time before a crash is no suspect
  /// of it. One that crashes backend servers never completes.
  Duration completion_time = seconds(10);
  /// Maximum number of remembered requests; those that would expire first are
  /// evicted.
  std::size_t max_remembered_requests = 4096;
  /// Disabled only in benchmarks.
  bool enabled = true;
};

/// Detects requests that crash backend servers and refuses them temporarily.
///
/// All requests in flight at a crash become suspects. Suspects run one at a
/// time on a backend server, so that a second crash identifies the culprit; a
/// suspect that completes is cleared at once. A request that was a suspect of
/// two crashes is refused for a time that grows with the evidence: each crash
/// adds 1 divided by the number of its suspects. Servers also crash by
/// themselves, while the same honest requests are always in flight; so a
/// request that has completed lately is not suspected.
///
/// A crash is detected when a connection is lost with the request in flight and
/// the backend server is found dead. Nodes report crashes to each other in
/// CrashReportMessage, so that requests resent to another node are recognised.
class Quarantine {
 public:
  enum class Verdict : std::uint8_t {
    kAllow,
    /// Run only while no other suspect is in flight at the backend server.
    kRunSerially,
    kRefuse,
  };

  explicit Quarantine(QuarantineOptions options = {})
      : m_options(options), m_completions(kRememberedCompletions) {}

  Verdict Check(RequestFingerprint request, TimePoint now) const;
  /// The strictest verdict on the fingerprints of one request.
  Verdict Check(const RequestFingerprints& request, TimePoint now) const;

  /// Whether a request with this target is remembered, so that the body of
  /// another one has to be compared with it.
  bool RemembersTarget(RequestTarget target, TimePoint now) const;

  /// A backend server of this node crashed with these requests in flight.
  /// Returns the suspects to report to the other nodes; empty if the crash is
  /// ignored.
  std::vector<RequestFingerprint> OnCrash(
      const std::vector<RequestFingerprint>& in_flight,
      TimePoint now);

  /// Another node reported a crash. CrashReportLog leaves out duplicates.
  void OnReport(const CrashReportMessage& report, TimePoint now);

  /// The request completed at a backend server that is alive. Clears it, unless
  /// its evidence amounts to a crash with no other suspect.
  void OnCompleted(RequestFingerprint request, TimePoint now);
  void OnCompleted(const RequestFingerprints& request, TimePoint now);

  /// Number of remembered requests.
  std::size_t size() const { return m_entries.size(); }

 private:
  struct Entry {
    /// Sum over crashes of 1 divided by the number of suspects.
    double suspicion = 0;
    std::uint32_t crashes = 0;
    TimePoint refused_until;
    TimePoint expires_at;
  };

  void AddSuspicion(const std::vector<RequestFingerprint>& suspects,
                    TimePoint now);
  void AddSuspicionTo(RequestFingerprint request, double weight, TimePoint now);
  void EvictExpired(TimePoint now);
  bool HasCompletedLately(RequestFingerprint request, TimePoint now) const;

  /// The last completion of a request. Requests whose fingerprints end alike
  /// share a place, and the later one has it.
  struct Completion {
    RequestFingerprint request = 0;
    TimePoint at;
  };

  static constexpr std::size_t kRememberedCompletions = 1024;

  QuarantineOptions m_options;
  std::vector<Completion> m_completions;
  std::map<RequestFingerprint, Entry> m_entries;
};

}  // namespace banyantrail
