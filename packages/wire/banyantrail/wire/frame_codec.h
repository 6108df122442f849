#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "banyantrail/wire/peer_messages.h"

namespace banyantrail {

/// Bytes of the length prefix in front of each frame (big endian).
inline constexpr std::size_t kFrameHeaderBytes = 4;

/// Upper bound of a frame's payload. A longer announced length is refused
/// before any memory is reserved for it.
inline constexpr std::uint32_t kMaxFrameBytes = 8U << 20U;

/// Encodes a message as a whole frame: length prefix, wire number, body.
std::string EncodeFrame(const PeerMessage& message);

/// Reads the payload length from a frame header of kFrameHeaderBytes bytes.
/// Throws Error{kMalformedMessage} when it is zero or above kMaxFrameBytes.
std::uint32_t DecodeFrameLength(std::string_view header);

/// Decodes the payload of a frame. Throws Error{kMalformedMessage} for an
/// unknown wire number, a wrong shape or trailing bytes.
PeerMessage DecodePayload(std::string_view payload);

}  // namespace banyantrail
