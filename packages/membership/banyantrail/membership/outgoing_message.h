#pragma once

#include <variant>

#include "banyantrail/core/ids.h"
#include "banyantrail/core/ip_endpoint.h"
#include "banyantrail/wire/peer_messages.h"

namespace banyantrail {

/// A message for the transport to send: to a member, or to an address whose
/// node is not known yet.
struct OutgoingMessage {
  std::variant<NodeId, IpEndpoint> to;
  PeerMessage message;

  friend bool operator==(const OutgoingMessage&,
                         const OutgoingMessage&) = default;
};

}  // namespace banyantrail
