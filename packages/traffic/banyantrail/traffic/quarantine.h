#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <tuple>
#include <vector>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"
#include "banyantrail/wire/peer_messages.h"

namespace banyantrail {

/// Recognises a request when it is sent again.
using RequestFingerprint = std::uint64_t;

/// What tells one request from another.
struct RequestIdentity {
  ServiceName service;
  std::string_view method;
  /// Path and query.
  std::string_view target;
  /// The idempotency key, else a digest of the body; empty when there is
  /// neither.
  std::string_view distinction;
  bool has_body = false;
};

/// Empty when a body is there and nothing tells it from others, because then
/// all requests to the path would be taken for one.
std::optional<RequestFingerprint> FingerprintOf(
    const RequestIdentity& identity);

/// Settings of Quarantine.
struct QuarantineOptions {
  /// How long a request that crashed a backend server on its own is refused.
  Duration refuse_time = std::chrono::minutes(5);
  /// How long one is refused at least, on the thinnest evidence.
  Duration least_refuse_time = seconds(10);
  /// How long a suspect is remembered after the last crash or refusal.
  Duration suspect_time = seconds(60);
  /// Crashes with more requests in flight say nothing about any of them.
  std::size_t max_suspects = 64;
  /// Bound of remembered requests; the ones longest without a crash go first.
  std::size_t max_entries = 4096;
  /// Off: nothing is suspected. For comparison.
  bool enabled = true;
};

/// Recognises requests that crash backend servers, and refuses them for a time.
///
/// The first crash makes all that was in flight suspect. Suspects run one at a
/// time on a backend server, so that the second crash names the culprit; a
/// suspect that is answered is cleared at once. A request that was in flight at
/// two crashes is refused, for a time that grows with the evidence: a crash
/// counts 1 divided by the number of suspects in flight.
///
/// Evidence of a crash is a connection to a backend server lost with the
/// request in flight, and the backend server found dead. Nodes tell each other
/// of crashes in CrashReportMessage, so that a resend at another node is
/// recognised.
class Quarantine {
 public:
  enum class Verdict : std::uint8_t {
    kAllow,
    /// Only while no other suspect is in flight at the backend server.
    kRunSerially,
    kRefuse,
  };

  explicit Quarantine(QuarantineOptions options = {}) : m_options(options) {}

  Verdict Check(RequestFingerprint request, TimePoint now) const;

  /// A backend server of this node crashed with these requests in flight.
  /// Returns the suspects to report to the other nodes; empty when the crash
  /// says nothing.
  std::vector<RequestFingerprint> OnCrash(
      const std::vector<RequestFingerprint>& in_flight,
      TimePoint now);

  /// Another node reported a crash. Reports seen before are ignored.
  void OnReport(const CrashReportMessage& report, TimePoint now);

  /// The request was answered by a backend server that is alive. Clears it,
  /// unless it once crashed a backend server on its own.
  void OnAnswered(RequestFingerprint request);

  /// Remembered requests.
  std::size_t size() const { return m_entries.size(); }

 private:
  struct Entry {
    /// Crashes, each divided by the number of its suspects.
    double suspicion = 0;
    std::uint32_t crashes = 0;
    TimePoint refused_until;
    TimePoint forget_at;
  };

  struct ReportId {
    NodeId node;
    Incarnation incarnation = 0;
    std::uint64_t sequence = 0;

    friend bool operator<(const ReportId& a, const ReportId& b) {
      return std::tie(a.node, a.incarnation, a.sequence) <
             std::tie(b.node, b.incarnation, b.sequence);
    }
  };

  void Blame(const std::vector<RequestFingerprint>& suspects, TimePoint now);
  void BlameOne(RequestFingerprint request, double part, TimePoint now);
  bool IsNew(const ReportId& id);
  void Forget(TimePoint now);

  QuarantineOptions m_options;
  std::map<RequestFingerprint, Entry> m_entries;
  std::set<ReportId> m_seen;
  std::deque<ReportId> m_seen_order;
};

}  // namespace banyantrail
