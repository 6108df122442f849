#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/random.h"
#include "banyantrail/traffic/routing_snapshot.h"
#include "banyantrail/wire/rollout_messages.h"

namespace banyantrail {

/// The endpoints of a service that a request may be sent to.
struct VersionChoice {
  /// If set, only endpoints of this version.
  std::optional<std::string> only;
  /// If not empty, only those of these endpoints.
  std::set<BackendServerId> servers;
  /// No endpoints of these versions.
  std::set<std::string> excluded;

  bool Allows(const ServiceEndpoint& endpoint) const;

  friend bool operator==(const VersionChoice&, const VersionChoice&) = default;
};

/// Limits what a node sends to new versions of a service.
///
/// Each node counts only its own requests, so the limit holds for the sum over
/// all nodes without messages between them. Does no I/O; the current time is
/// passed to each call.
class ExposureControl {
 public:
  struct Options {
    /// Share of a service's requests that a version which turns out to be bad
    /// may get, over the whole roll-out. 0 disables the control.
    double share = 0;
    /// Requests over all nodes that such a version may get in addition.
    double slack = 0;
    /// Part of `share` that a node sends during the canary phase. The rest is
    /// for the time in which all requests move to the new version.
    double canary_part = 0.5;
    /// Part of `slack` that all nodes together send at the start, so that
    /// services with few requests are judged by more than a few responses.
    double start_part = 0.4;
    /// How long a version without a roll-out is limited after it has appeared
    /// beside an established one. Its roll-out may not be known yet.
    Duration unknown_limit = seconds(2);
    /// Without a directive for this time, a node sends a version in the canary
    /// phase no more requests.
    Duration max_silence = milliseconds(3500);
    std::uint64_t seed = 0;
  };

  explicit ExposureControl(Options options);

  bool is_enabled() const { return m_options.share > 0; }

  /// Sets the endpoints of all services, and the number of nodes that share the
  /// requests.
  void SetServices(const std::vector<RoutedService>& services,
                   std::size_t nodes,
                   TimePoint now);

  /// Returns whether the phase in force or the roll-out changed. A directive of
  /// an earlier roll-out of the service is ignored, and so is one that would
  /// take back a rollback or a completion.
  bool Apply(const RolloutDirectiveMessage& directive, TimePoint now);

  /// The node's own responses show that the target version is bad. It gets no
  /// new requests from this node during this roll-out, unless it is completed.
  void Stop(const ServiceName& service);

  /// Counts a new request to the service and chooses the versions that it may
  /// be sent to.
  VersionChoice Next(const ServiceName& service, TimePoint now);

  /// The versions for requests that may not get to a limited version: retries,
  /// and requests that no server of a limited version can take.
  VersionChoice WithoutLimited(const ServiceName& service, TimePoint now) const;

  /// The newest directive of the service's roll-out; null without one. Valid
  /// until the next call of Apply.
  const RolloutDirectiveMessage* RolloutOf(const ServiceName& service) const;

  /// The phase in force at this node; empty without a roll-out.
  std::optional<RolloutPhase> PhaseOf(const ServiceName& service,
                                      TimePoint now) const;

  /// Whether the endpoint's version appeared so recently that its servers may
  /// not have warmed up.
  bool IsWarmingUp(const ServiceName& service,
                   const std::string& version,
                   TimePoint now) const;

 private:
  struct Version {
    TimePoint appeared_at;
    /// Number of endpoints; 0 while there are none.
    std::size_t endpoints = 0;
    bool established = false;
    std::set<BackendServerId> servers;
    /// Requests to the service since the version has been limited, and those
    /// of them for this version.
    std::uint64_t seen = 0;
    std::uint64_t sent = 0;
    /// A random start credit below 1 makes the mean over nodes exact, however
    /// few requests each of them gets.
    double credit = 0;
  };

  struct Rollout {
    RolloutDirectiveMessage directive;
    TimePoint heard_at;
    bool stopped = false;
    /// Versions that the completed one has replaced.
    std::set<std::string> replaced;
  };

  struct Service {
    std::map<std::string, Version> versions;
    std::optional<Rollout> rollout;
  };

  void Establish(Service& service, TimePoint now) const;
  void StartLimit(Version& version, double extra_credit);
  std::set<BackendServerId> CanaryServers(const Service& service,
                                          const std::string& version) const;
  std::optional<RolloutPhase> PhaseOf(const Service& service,
                                      TimePoint now) const;
  bool IsLimited(const Service& service,
                 const std::string& version,
                 TimePoint now) const;
  bool MaySendTo(const Service& service,
                 const std::string& version,
                 TimePoint now) const;
  VersionChoice WithoutLimited(const Service& service, TimePoint now) const;

  Options m_options;
  Rng m_rng;
  std::size_t m_nodes = 1;
  std::map<ServiceName, Service> m_services;
};

}  // namespace banyantrail
