#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "banyantrail/config/object_store.h"
#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"
#include "banyantrail/core/ip_endpoint.h"

namespace banyantrail {

/// Relay leases of each failure domain.
inline constexpr std::size_t kRelaySlots = 2;

/// Prefix of the lease keys: "relay/{domain}/{slot}".
inline constexpr std::string_view kRelayKeyPrefix = "relay/";

/// "relay/{domain}/".
std::string RelayKeyPrefix(const DomainId& domain);
/// "relay/{domain}/{slot}".
std::string RelayKey(const DomainId& domain, std::size_t slot);
/// "status/{domain}/{slot}".
std::string StatusKey(const DomainId& domain, std::size_t slot);

/// The value of a lease object. A lease whose holder gave it back names no
/// node.
struct RelayLeaseValue {
  NodeId node;
  IpEndpoint peer_address;
  /// Grows by one with each change of holder.
  std::uint64_t term = 0;

  friend bool operator==(const RelayLeaseValue&,
                         const RelayLeaseValue&) = default;
};

nlohmann::json ToJson(const RelayLeaseValue& value);

/// Throws Error{kMalformedMessage} that names the faulty field.
RelayLeaseValue ParseRelayLeaseValue(const nlohmann::json& json);

/// The nodes of a domain that may take a lease: the first kRelaySlots in
/// rendezvous order, so that platform calls do not grow with the fleet.
std::vector<NodeId> RelayCandidates(const DomainId& domain,
                                    const std::vector<NodeId>& nodes);

/// A conditional write of a lease.
struct RelayLeaseWrite {
  std::size_t slot = 0;
  /// 0 when the object must not exist.
  std::uint64_t expected_version = 0;
  RelayLeaseValue value;

  friend bool operator==(const RelayLeaseWrite&,
                         const RelayLeaseWrite&) = default;
};

/// Decides when a node takes, renews and gives back a relay lease of its
/// domain. Pure.
///
/// A lease gives only the duty to watch the platform and to write status. It
/// expires when its version has not changed for a while on the observer's own
/// monotonic clock, so clocks are never compared. A holder that was paused
/// past its lease learns of it from the failed conditional update; until then
/// two holders cost load, not safety.
class RelayLease {
 public:
  struct Options {
    NodeId self;
    DomainId domain;
    IpEndpoint peer_address;
    /// A lease whose version has not changed for so long is free. At least
    /// three times the interval between two calls of Decide.
    Duration expiry = seconds(6);
    /// The same when the failure detector holds the node for gone. At least
    /// twice that interval.
    Duration expiry_of_dead = seconds(4);
  };

  explicit RelayLease(Options options);

  /// The alive members of the domain that do not drain, with this node.
  void OnMembers(std::vector<NodeId> members);

  /// The slots as just read from the platform; nothing for an absent object.
  /// Malformed values count as free.
  void OnSlots(
      const std::array<std::optional<StoredObject>, kRelaySlots>& slots,
      TimePoint now);

  /// Whether this node has to look at the slots at all: it holds one or is a
  /// candidate.
  bool NeedsSlots() const;

  /// The write to make now, if any: a renewal of the lease held, the taking of
  /// a free one, or giving one back because other nodes are the candidates now,
  /// which are those that the domain's nodes report to.
  std::optional<RelayLeaseWrite> Decide(TimePoint now) const;

  /// The write took effect.
  void OnWritten(const RelayLeaseWrite& write,
                 std::uint64_t version,
                 TimePoint now);
  /// Another node changed the lease in between: this node does not hold it.
  void OnRefused(const RelayLeaseWrite& write);

  /// Stops for good: Decide proposes to give the lease back, then nothing.
  void Drain() { m_draining = true; }

  /// The slot whose duty this node has, while its last renewal is young
  /// enough.
  std::optional<std::size_t> HeldSlot(TimePoint now) const;

  /// Holders of the domain's leases by slot, for the status reports.
  std::vector<NodeId> Holders() const;

 private:
  struct Slot {
    bool known = false;
    std::uint64_t version = 0;
    std::optional<RelayLeaseValue> value;
    /// When this node first saw the version.
    TimePoint seen;
  };

  bool IsCandidate() const;
  bool IsMember(const NodeId& node) const;
  bool IsFree(const Slot& slot, TimePoint now) const;
  std::optional<std::size_t> OwnSlot() const;
  std::optional<std::size_t> FreeSlot(TimePoint now) const;
  RelayLeaseWrite WriteTo(std::size_t slot, NodeId node) const;

  Options m_options;
  std::vector<NodeId> m_members;
  std::vector<NodeId> m_candidates;
  std::array<Slot, kRelaySlots> m_slots;
  bool m_draining = false;
  std::optional<TimePoint> m_renewed;
};

}  // namespace banyantrail
