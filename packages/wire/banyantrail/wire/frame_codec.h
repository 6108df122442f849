#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "banyantrail/wire/peer_messages.h"

namespace banyantrail {

/// Size of the length prefix of each frame (big endian).
inline constexpr std::size_t kFrameHeaderBytes = 4;

/// Maximum size of a frame's payload. A greater length in the header is
/// rejected before any memory is allocated for it.
inline constexpr std::uint32_t kMaxPayloadBytes = 8U << 20U;

/// Encodes a message as a whole frame: length prefix, message type number,
/// body.
std::string EncodeFrame(const PeerMessage& message);

/// Reads the payload length from a frame header of kFrameHeaderBytes bytes.
/// Throws Error{kMalformedMessage} when it is zero or above kMaxPayloadBytes.
std::uint32_t DecodePayloadLength(std::string_view header);

/// Decodes the payload of a frame. Throws Error{kMalformedMessage} for an
/// unknown message type, a wrong structure or trailing bytes.
PeerMessage DecodePayload(std::string_view payload);

}  // namespace banyantrail
