#include "banyantrail/wire/request_metadata.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <string>

#include "banyantrail/wire/member_record.h"

using banyantrail::BackendServerId;
using banyantrail::FormatRequestMetadata;
using banyantrail::milliseconds;
using banyantrail::ParseRequestMetadata;
using banyantrail::RequestMetadata;
using banyantrail::ServiceName;

namespace {

const RequestMetadata kOrder{.time_left = milliseconds(1200),
                             .target_left = milliseconds(350),
                             .depth = 1,
                             .priority = 2,
                             .is_idempotent = true,
                             .is_nested_call = true,
                             .kind = 0x1f,
                             .service = ServiceName("orders"),
                             .server = BackendServerId("s1"),
                             .caller_service = ServiceName("checkout"),
                             .body_hash = "77"};

}  // namespace

TEST_GROUP(RequestMetadata){};

TEST(RequestMetadata, FormatIsStable) {
  STRCMP_EQUAL("1200;350;1;2;in;1f;orders;s1;checkout;77",
               FormatRequestMetadata(kOrder).c_str());
  STRCMP_EQUAL("0;;0;0;;0;;;;", FormatRequestMetadata({}).c_str());
}

TEST(RequestMetadata, AnyNamesSurviveTheWire) {
  CHECK(rc::check([] {
    RequestMetadata metadata = kOrder;
    metadata.service = ServiceName(*rc::gen::arbitrary<std::string>());
    metadata.server = BackendServerId(*rc::gen::arbitrary<std::string>());
    metadata.kind = *rc::gen::arbitrary<std::uint64_t>();
    const std::string text = FormatRequestMetadata(metadata);
    RC_ASSERT(ParseRequestMetadata(text) == metadata);
    for (const char c : text) {
      RC_ASSERT(c > ' ' && c <= '~');
    }
  }));
}

TEST(RequestMetadata, RejectsMalformedText) {
  for (const char* wrong : {"", "1", "1200;350;1;2;in;1f;orders;s1;checkout",
                            "1200;350;1;2;in;1f;orders;s1;checkout;77;",
                            "-1;350;1;2;in;1f;orders;s1;checkout;77",
                            "1200;350;1;256;in;1f;orders;s1;checkout;77",
                            "99999999999;350;1;2;in;1f;orders;s1;checkout;77",
                            "1200;350;1;2;in;xyz;orders;s1;checkout;77",
                            "1200;350;1;2;in;1f;ord%2;s1;checkout;77",
                            "1200;350;1;2;in;1f;ord%zz;s1;checkout;77"}) {
    CHECK_FALSE(ParseRequestMetadata(wrong).has_value());
  }
}

// Nodes of an earlier build do not send the version, nor the version and era
// of the applied revision behind it, and ignore them.
TEST(RequestMetadata, MemberRecordsOfEarlierBuildsHaveVersionZero) {
  banyantrail::MemberRecord record{.node = banyantrail::NodeId("n1"),
                                   .mesh_version = banyantrail::kMeshVersion};
  msgpack::sbuffer packed;
  msgpack::pack(packed, record);
  const msgpack::object_handle handle =
      msgpack::unpack(packed.data(), packed.size());
  msgpack::object object = handle.get();
  CHECK(object.as<banyantrail::MemberRecord>() == record);
  object.via.array.size -= 3;
  record.mesh_version = 0;
  CHECK(object.as<banyantrail::MemberRecord>() == record);
}
