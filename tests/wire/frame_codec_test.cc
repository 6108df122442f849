#include "banyantrail/wire/frame_codec.h"

#include <CppUTest/TestHarness.h>

#include <string>

#include "banyantrail/core/errors.h"

using banyantrail::DecodePayload;
using banyantrail::DecodePayloadLength;
using banyantrail::EncodeFrame;
using banyantrail::Error;
using banyantrail::kFrameHeaderBytes;
using banyantrail::NodeId;
using banyantrail::PeerMessage;
using banyantrail::ProbeMessage;

namespace {

PeerMessage RoundTrip(const PeerMessage& message) {
  const std::string frame = EncodeFrame(message);
  const std::string payload = frame.substr(kFrameHeaderBytes);
  LONGS_EQUAL(payload.size(), DecodePayloadLength(frame));
  return DecodePayload(payload);
}

/// A StoreHeadMessage of a build that does not know the store's era.
struct EarlierStoreHead {
  banyantrail::Revision revision;
  std::string release_digest;
  bool is_pushed = true;
  bool store_failed = false;

  MSGPACK_DEFINE(revision.number,
                 release_digest,
                 is_pushed,
                 store_failed,
                 revision.version,
                 revision.era)
};

template <typename Message>
msgpack::object_handle Packed(const Message& message) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, message);
  return msgpack::unpack(buffer.data(), buffer.size());
}

}  // namespace

TEST_GROUP(FrameCodec){};

TEST(FrameCodec, DecodesWhatItEncoded) {
  const PeerMessage probe = ProbeMessage{.probe_id = 7, .target = NodeId("b")};
  CHECK(RoundTrip(probe) == probe);

  banyantrail::MemberRecord record{.node = NodeId("a"), .incarnation = 3};
  record.backend_servers.push_back(
      {.id = banyantrail::BackendServerId("s1"),
       .state = banyantrail::BackendServerState::kDraining});
  const PeerMessage update =
      banyantrail::MembershipUpdateMessage{.records = {record}};
  CHECK(RoundTrip(update) == update);

  const PeerMessage ask = banyantrail::QuotaRequestMessage{
      .sequence = 3,
      .team = banyantrail::TeamName("surveyors"),
      .tokens = 2,
      .prefetch = 1};
  CHECK(RoundTrip(ask) == ask);
  const PeerMessage reply =
      banyantrail::QuotaReplyMessage{.sequence = 3,
                                     .team = banyantrail::TeamName("surveyors"),
                                     .granted = 2,
                                     .retry_after_ms = 40};
  CHECK(RoundTrip(reply) == reply);
}

TEST(FrameCodec, DecodesTheMessagesOfTheKeyLease) {
  const PeerMessage request =
      banyantrail::ConfirmationRequestMessage{.sequence = 0xFEDCBA9876543210};
  const PeerMessage reply = banyantrail::ConfirmationReplyMessage{
      .sequence = 0xFEDCBA9876543210,
      .revision = {.number = 4711},
      .age_ms = 812,
      .applied = {.version = 3, .era = 2, .number = 4710}};
  CHECK(RoundTrip(request) == request);
  CHECK(RoundTrip(reply) == reply);
}

TEST(FrameCodec, DecodesTheEraOfTheStore) {
  const PeerMessage head = banyantrail::StoreHeadMessage{
      .revision = {.version = 9, .era = 4, .number = 4711},
      .release_digest = "d",
      .store_era = 0xFEDCBA9876543210};
  CHECK(RoundTrip(head) == head);
}

// Nodes of several builds run side by side while the fleet is replaced.
TEST(FrameCodec, ExchangesStoreHeadsWithEarlierBuilds) {
  const banyantrail::StoreHeadMessage head{
      .revision = {.version = 9, .era = 4, .number = 4711},
      .release_digest = "d",
      .store_era = 5};
  const EarlierStoreHead earlier{.revision = head.revision,
                                 .release_digest = head.release_digest};
  const msgpack::object_handle sent = Packed(earlier);
  banyantrail::StoreHeadMessage received;
  sent.get().convert(received);
  banyantrail::StoreHeadMessage expected = head;
  expected.store_era = 0;
  CHECK(received == expected);

  const msgpack::object_handle answered = Packed(head);
  EarlierStoreHead received_by_earlier;
  answered.get().convert(received_by_earlier);
  CHECK(received_by_earlier.revision == head.revision);
  CHECK(received_by_earlier.is_pushed == head.is_pushed);
}

TEST(FrameCodec, RejectsLengthOutOfBounds) {
  CHECK_THROWS(Error, DecodePayloadLength(std::string("\xFF\xFF\xFF\xFF", 4)));
  CHECK_THROWS(Error, DecodePayloadLength(std::string(4, '\0')));
}

TEST(FrameCodec, RejectsUnknownMessageType) {
  const std::string payload("\x92\x63\x90", 3);
  CHECK_THROWS(Error, DecodePayload(payload));
}

TEST(FrameCodec, RejectsTruncatedPayload) {
  const std::string frame =
      EncodeFrame(ProbeMessage{.probe_id = 7, .target = NodeId("b")});
  for (std::size_t size = 0; size + kFrameHeaderBytes < frame.size(); ++size) {
    CHECK_THROWS(Error, DecodePayload(frame.substr(kFrameHeaderBytes, size)));
  }
}

TEST(FrameCodec, RejectsTrailingBytes) {
  const std::string frame = EncodeFrame(ProbeMessage{.probe_id = 7});
  CHECK_THROWS(Error, DecodePayload(frame.substr(kFrameHeaderBytes) + "x"));
}
