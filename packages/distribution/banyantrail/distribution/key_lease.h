#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "banyantrail/core/boot_clock.h"
#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"
#include "banyantrail/wire/peer_messages.h"

namespace banyantrail {

/// Timing of a key lease.
struct KeyLeaseOptions {
  /// How long after the store acknowledged a configuration a key that it
  /// removed may still be accepted.
  Duration revocation = seconds(5);
  /// How much earlier the lease ends, for the granularity of timers and for
  /// differences between the rates of the nodes' clocks.
  Duration margin = revocation / 100;
  /// Age of the confirmation from which on the node asks its peers. A peer that
  /// watches the store knows a confirmation of at most 0.2 x `revocation`, so
  /// a node asks about once in 0.2 x `revocation`.
  Duration max_fresh_age = revocation * 3 / 10;
  /// Time between two requests while the confirmation is not fresh; each goes
  /// to another peer.
  Duration request_interval = revocation / 25;

  friend bool operator==(const KeyLeaseOptions&,
                         const KeyLeaseOptions&) = default;
};

/// Decides whether a node may accept keys of teams.
///
/// A confirmation says: at a certain moment, this revision was the store's
/// newest configuration. A node accepts keys only by a configuration that is at
/// least as new as a confirmation younger than `revocation`, so it cannot have
/// missed the removal of a key for longer than that. Confirmations come from
/// the node's own reads of the store and, as the reply to a request, from
/// peers. A store that shows an older version than the node has, in a later
/// era, confirms nothing: it lacks what it has accepted, perhaps also the
/// removal of a key. Each confirmation is dated at its earliest possible
/// moment: when the read, or the request to the peer, was sent. Messages that
/// are delayed, duplicated or lost can therefore only end the lease earlier.
///
/// A copy that holds just the version of this node, which has missed the next
/// one, looks like a store that has lost nothing. So confirmations of a later
/// era count only once a peer has replied, to a request that was sent after the
/// first of them, what it has applied; or after `revocation`. One that lacks
/// what a peer has applied is dropped.
///
/// Performs no I/O; time is a parameter.
class KeyLease {
 public:
  /// A request to send to `peer`.
  struct Request {
    NodeId peer;
    ConfirmationRequestMessage message;
  };

  /// `first_sequence` must be random: a number that an earlier process of this
  /// node has used would make an old reply look like a new one.
  KeyLease(const KeyLeaseOptions& options, std::uint64_t first_sequence)
      : m_options(options), m_next_sequence(first_sequence) {}

  /// A linearizable read or a watch of the store, sent at `sent_at`, returned
  /// `revision` as the newest configuration.
  void OnStoreConfirmed(Revision revision, BootTimePoint sent_at);

  /// The request to send now, if any. `peers` are asked in the given order,
  /// from the first one each time the confirmation ceases to be fresh.
  std::optional<Request> NextRequest(const std::vector<NodeId>& peers,
                                     Revision applied,
                                     BootTimePoint now);

  /// A peer replied. Ignores replies to requests that this process did not send
  /// or has forgotten.
  void OnReply(const ConfirmationReplyMessage& reply);

  /// The reply to a peer of a node that has applied `applied`; empty if this
  /// node knows nothing of use to it.
  std::optional<ConfirmationReplyMessage> ReplyTo(
      const ConfirmationRequestMessage& request,
      Revision applied,
      BootTimePoint now) const;

  /// Whether keys may be accepted by the configuration of revision `applied`.
  bool MayAcceptKeys(Revision applied, BootTimePoint now) const;

  /// Age of the newest confirmation of a revision up to `applied`; empty if
  /// there is none.
  std::optional<Duration> Age(Revision applied, BootTimePoint now) const;

 private:
  struct Confirmation {
    Revision revision;
    /// A moment at which `revision` was the newest one.
    BootTimePoint confirmed_at;
  };
  void Record(const Confirmation& confirmation);
  void TrustNewEra();
  /// Forgets confirmations of a store that lacks `revision`.
  void DropWhatLacks(const Revision& revision);
  /// Whether the era of the confirmation counts.
  bool IsTrusted(const Confirmation& confirmation) const {
    return confirmation.revision.era <= m_era;
  }

  struct SentRequest {
    std::uint64_t sequence = 0;
    BootTimePoint sent_at;
  };

  KeyLeaseOptions m_options;
  /// The newest confirmation of each revision; those of revisions above the
  /// applied one are kept until it is applied.
  std::vector<Confirmation> m_confirmations;
  /// The latest era whose confirmations count.
  std::uint64_t m_era = 0;
  /// The newest revision that a peer has replied to have applied.
  Revision m_applied_by_peers;
  /// When the first confirmation of a later era was sent.
  std::optional<BootTimePoint> m_new_era_at;
  std::deque<SentRequest> m_sent_requests;
  std::uint64_t m_next_sequence;
  /// Index of the next peer to ask.
  std::size_t m_next_peer = 0;
  std::optional<BootTimePoint> m_last_request_at;
};

}  // namespace banyantrail
