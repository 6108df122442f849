#include "standins/object_store.h"

#include <CppUTest/TestHarness.h>

#include "standins/request_target.h"
#include "standins/token_bucket.h"

using banyantrail::ManualClock;
using banyantrail::milliseconds;
using banyantrail::standins::EncodeQueryValue;
using banyantrail::standins::IsValidKey;
using banyantrail::standins::ObjectStore;
using banyantrail::standins::ParseRequestTarget;
using banyantrail::standins::TokenBucket;
using banyantrail::standins::WriteResult;
using banyantrail::standins::WriteStatus;

TEST_GROUP(ObjectStore) {
  ObjectStore store;
};

TEST(ObjectStore, VersionsIncreaseAcrossAllKeys) {
  CHECK(store.Put("a", "1") == (WriteResult{.version = 1}));
  CHECK(store.Put("b", "1") == (WriteResult{.version = 2}));
  CHECK(store.Put("a", "2") == (WriteResult{.version = 3}));
  CHECK(store.Get("a")->version == 3);
}

TEST(ObjectStore, ConditionalWriteRequiresTheCurrentVersion) {
  store.Put("a", "1");
  CHECK(store.Put("a", "2", 0) ==
        (WriteResult{WriteStatus::kVersionMismatch, 1}));
  CHECK(store.Put("a", "2", 7) ==
        (WriteResult{WriteStatus::kVersionMismatch, 1}));
  CHECK(store.Get("a")->value == "1");
  CHECK(store.Put("a", "2", 1) == (WriteResult{.version = 2}));
}

TEST(ObjectStore, VersionZeroMatchesAbsentAndDeletedObjects) {
  CHECK(store.Put("a", "1", 0).status == WriteStatus::kDone);
  CHECK(store.Delete("a").status == WriteStatus::kDone);
  CHECK_FALSE(store.Get("a").has_value());
  CHECK(store.Put("a", "1", 0).status == WriteStatus::kDone);
}

TEST(ObjectStore, DeletingAnAbsentObjectKeepsTheStoreVersion) {
  CHECK(store.Delete("a").status == WriteStatus::kNotFound);
  LONGS_EQUAL(0, store.version());
}

TEST(ObjectStore, RejectsValuesAboveTheSizeLimit) {
  ObjectStore small({.max_value_bytes = 4});
  CHECK(small.Put("a", "12345").status == WriteStatus::kTooLarge);
  CHECK(small.Put("a", "1234").status == WriteStatus::kDone);
}

TEST(ObjectStore, ListReturnsExistingObjectsUnderThePrefixSortedByKey) {
  store.Put("r/b", "1");
  store.Put("r/a", "1");
  store.Put("s/a", "1");
  store.Put("r/c", "1");
  store.Delete("r/c");
  const auto listed = store.List("r/");
  LONGS_EQUAL(2, listed.size());
  STRCMP_EQUAL("r/a", listed[0].key.c_str());
  STRCMP_EQUAL("r/b", listed[1].key.c_str());
}

TEST(ObjectStore, ChangesIncludeDeletionsSortedByVersion) {
  store.Put("r/b", "1");
  store.Put("r/a", "1");
  store.Delete("r/b");
  const auto changes = store.ChangesAfter("r/", 1);
  LONGS_EQUAL(2, changes.size());
  STRCMP_EQUAL("r/a", changes[0].key.c_str());
  CHECK(changes[1].deleted);
}

TEST(ObjectStore, KeysAreNotEmptyAndContainNoSpaces) {
  CHECK(IsValidKey("release/chunk/0a-b_c.d"));
  CHECK_FALSE(IsValidKey(""));
  CHECK_FALSE(IsValidKey("a b"));
}

TEST_GROUP(TokenBucket){};

TEST(TokenBucket, RefillsWithTime) {
  ManualClock clock;
  TokenBucket bucket(2, clock.Now());
  CHECK(bucket.TryTake(clock.Now()));
  CHECK(bucket.TryTake(clock.Now()));
  CHECK_FALSE(bucket.TryTake(clock.Now()));
  clock.Advance(milliseconds(500));
  CHECK(bucket.TryTake(clock.Now()));
  CHECK_FALSE(bucket.TryTake(clock.Now()));
}

TEST_GROUP(RequestTarget){};

TEST(RequestTarget, DecodesEncodedQueryValues) {
  const std::string url = "http://127.0.0.1:80/a?b=c&d";
  const auto target = ParseRequestTarget("/x?n=1&u=" + EncodeQueryValue(url));
  STRCMP_EQUAL("/x", target.path.c_str());
  STRCMP_EQUAL("1", target.query.at("n").c_str());
  STRCMP_EQUAL(url.c_str(), target.query.at("u").c_str());
}
