#include "banyantrail/traffic/refusal_reason.h"

#include <set>
#include <string_view>

#include <CppUTest/TestHarness.h>

using banyantrail::kRefusalReasonCount;
using banyantrail::ProvesNotRun;
using banyantrail::RefusalReason;
using banyantrail::RemedyFor;
using banyantrail::ToString;

TEST_GROUP(RefusalReason){};

TEST(RefusalReason, NamesAreUniqueAndEachHasARemedy) {
  std::set<std::string_view> names;
  for (std::size_t i = 0; i < kRefusalReasonCount; ++i) {
    const auto reason = static_cast<RefusalReason>(i);
    CHECK(!RemedyFor(reason).empty());
    names.insert(ToString(reason));
  }
  LONGS_EQUAL(kRefusalReasonCount, names.size());
}

TEST(RefusalReason, FailuresAfterTheFirstByteDoNotProveNotRun) {
  CHECK(ProvesNotRun(RefusalReason::kQueueFull));
  CHECK(ProvesNotRun(RefusalReason::kShedByBackendServer));
  CHECK(!ProvesNotRun(RefusalReason::kConnectionLost));
  CHECK(!ProvesNotRun(RefusalReason::kResponseTimeout));
  CHECK(!ProvesNotRun(RefusalReason::kResponseTruncated));
}
