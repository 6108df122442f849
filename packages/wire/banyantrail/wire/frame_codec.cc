#include "banyantrail/wire/frame_codec.h"

#include <array>
#include <utility>

#include "banyantrail/core/errors.h"

namespace banyantrail {
namespace {

[[noreturn]] void ThrowMalformed(const std::string& what) {
  throw Error({.kind = ErrorKind::kMalformedMessage,
               .message = "malformed peer message: " + what,
               .remedy = "check that both nodes run compatible versions"});
}

/// Limits on the containers in a received message, so that a small frame cannot
/// cause a large allocation.
msgpack::unpack_limit UnpackLimits() {
  constexpr std::size_t kMaxElements = 100'000;
  constexpr std::size_t kMaxDepth = 16;
  return {kMaxElements, kMaxElements, kMaxPayloadBytes, kMaxPayloadBytes, 0,
          kMaxDepth};
}

template <std::size_t index = 0>
PeerMessage DecodeBody(std::size_t message_type, const msgpack::object& body) {
  if constexpr (index < std::variant_size_v<PeerMessage>) {
    if (message_type == index) {
      return body.as<std::variant_alternative_t<index, PeerMessage>>();
    }
    return DecodeBody<index + 1>(message_type, body);
  } else {
    ThrowMalformed("unknown message type " + std::to_string(message_type));
  }
}

}  // namespace

std::string EncodeFrame(const PeerMessage& message) {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(2);
  packer.pack(message.index());
  std::visit([&packer](const auto& body) { packer.pack(body); }, message);

  const auto length = static_cast<std::uint32_t>(buffer.size());
  std::string frame;
  frame.reserve(kFrameHeaderBytes + length);
  for (const unsigned shift : {24U, 16U, 8U, 0U}) {
    frame.push_back(static_cast<char>((length >> shift) & 0xFFU));
  }
  frame.append(buffer.data(), buffer.size());
  return frame;
}

std::uint32_t DecodePayloadLength(std::string_view header) {
  std::uint32_t length = 0;
  for (const char byte : header.substr(0, kFrameHeaderBytes)) {
    length = (length << 8U) | static_cast<unsigned char>(byte);
  }
  if (length == 0 || length > kMaxPayloadBytes) {
    ThrowMalformed("payload length " + std::to_string(length) +
                   " is not between 1 and " + std::to_string(kMaxPayloadBytes));
  }
  return length;
}

PeerMessage DecodePayload(std::string_view payload) {
  try {
    std::size_t offset = 0;
    const msgpack::object_handle handle =
        msgpack::unpack(payload.data(), payload.size(), offset, nullptr,
                        nullptr, UnpackLimits());
    if (offset != payload.size()) {
      ThrowMalformed("trailing bytes after the message");
    }
    const msgpack::object& root = handle.get();
    if (root.type != msgpack::type::ARRAY || root.via.array.size != 2) {
      ThrowMalformed("payload is not an array of message type and body");
    }
    return DecodeBody(root.via.array.ptr[0].as<std::size_t>(),
                      root.via.array.ptr[1]);
  } catch (const msgpack::type_error&) {
    ThrowMalformed("a field has the wrong type");
  } catch (const msgpack::unpack_error& error) {
    ThrowMalformed(error.what());
  }
}

}  // namespace banyantrail
