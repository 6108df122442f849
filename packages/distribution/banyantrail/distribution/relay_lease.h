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

/// Number of relay leases per failure domain.
inline constexpr std::size_t kRelaySlots = 2;

/// Prefix of the lease keys: "relay/{domain}/{slot}".
inline constexpr std::string_view kRelayKeyPrefix = "relay/";

/// "relay/{domain}/".
std::string RelayKeyPrefix(const DomainId& domain);
/// "relay/{domain}/{slot}".
std::string RelayKey(const DomainId& domain, std::size_t slot);
/// "status/{domain}/{slot}".
std::string StatusKey(const DomainId& domain, std::size_t slot);

/// The value of a lease object. `node` is empty once the holder has released
/// the lease.
struct RelayLeaseValue {
  NodeId node;
  IpEndpoint peer_address;
  /// Incremented with each change of holder.
  std::uint64_t term = 0;

  friend bool operator==(const RelayLeaseValue&,
                         const RelayLeaseValue&) = default;
};

nlohmann::json ToJson(const RelayLeaseValue& value);

/// Throws Error{kMalformedMessage} that names the invalid field.
RelayLeaseValue ParseRelayLeaseValue(const nlohmann::json& json);

/// Up to `max_count` of the nodes by descending rendezvous hash: nodes that
/// join or leave do not change the order of the others.
std::vector<NodeId> RendezvousOrder(const DomainId& domain,
                                    const std::vector<NodeId>& nodes,
                                    std::size_t max_count);

/// The nodes of a domain that may acquire a lease: the first kRelaySlots in
/// rendezvous order, so that the number of platform calls is independent of the
/// number of nodes.
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

/// Decides when a node acquires, renews and releases a relay lease of its
/// domain. Performs no I/O.
///
/// The holder of a lease watches the platform and writes the domain's status. A
/// lease expires when its version has not changed for `expiry` on the
/// observer's own monotonic clock, so clocks of different nodes are never
/// compared. A holder that was paused for longer than its lease finds out when
/// its conditional update fails. Until then a slot may have two holders, which
/// costs extra load but is safe.
class RelayLease {
 public:
  struct Options {
    NodeId self;
    DomainId domain;
    IpEndpoint peer_address;
    /// A lease is free when its version has not changed for this time. At least
    /// three times the interval between two calls of Decide.
    Duration expiry = seconds(6);
    /// Expiry when the holder is no longer an alive member of the domain. At
    /// least twice the interval between two calls of Decide.
    Duration dead_holder_expiry = seconds(4);
  };

  explicit RelayLease(Options options);

  /// Sets the alive, non-draining members of the domain, including this node.
  void OnMembers(std::vector<NodeId> members);

  /// Records the slots as read from the platform; nullopt for an absent object.
  /// A slot with a malformed value counts as free.
  void OnSlots(
      const std::array<std::optional<StoredObject>, kRelaySlots>& slots,
      TimePoint now);

  /// Whether this node has to read the slots: it holds one or is a candidate.
  bool NeedsSlots() const;

  /// The write to make now, if any: renews the lease held, acquires a free one,
  /// or releases the lease held when this node drains or is no longer a
  /// candidate. The nodes of the domain report their status to the candidates.
  std::optional<RelayLeaseWrite> Decide(TimePoint now) const;

  /// The conditional write succeeded.
  void OnWritten(const RelayLeaseWrite& write,
                 std::uint64_t version,
                 TimePoint now);
  /// The conditional write failed because another node has changed the lease,
  /// so this node does not hold it.
  void OnWriteConflict(const RelayLeaseWrite& write);

  /// Stops permanently: Decide returns one write that releases the lease held,
  /// then nullopt.
  void Drain() { m_draining = true; }

  /// The slot that this node holds, or nullopt if its last renewal is older
  /// than `expiry`.
  std::optional<std::size_t> HeldSlot(TimePoint now) const;

  /// Holders of the domain's leases in slot order, without free slots, for the
  /// status reports.
  std::vector<NodeId> Holders() const;

 private:
  struct Slot {
    bool known = false;
    std::uint64_t version = 0;
    std::optional<RelayLeaseValue> value;
    /// When this node first observed `version`.
    TimePoint first_observed;
  };

  bool IsCandidate() const;
  bool IsMember(const NodeId& node) const;
  bool IsFree(const Slot& slot, TimePoint now) const;
  std::optional<std::size_t> OwnSlot() const;
  std::optional<std::size_t> FreeSlot(TimePoint now) const;
  RelayLeaseWrite MakeWrite(std::size_t slot, NodeId node) const;

  Options m_options;
  std::vector<NodeId> m_members;
  std::vector<NodeId> m_candidates;
  std::array<Slot, kRelaySlots> m_slots;
  bool m_draining = false;
  std::optional<TimePoint> m_renewed_at;
};

}  // namespace banyantrail
