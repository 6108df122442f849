#include "banyantrail/proxy/head_memory.h"

#include <string>

#include <CppUTest/TestHarness.h>

using banyantrail::HeadMemory;
using banyantrail::HeadText;
using banyantrail::InspectHead;
using banyantrail::IsSmall;
using banyantrail::MemoryOf;

TEST_GROUP(HeadMemory){};

TEST(HeadMemory, InspectCountsFields) {
  LONGS_EQUAL(0, InspectHead("GET / HTTP/1.1\r\n\r\n").fields);
  const HeadText head =
      InspectHead("GET / HTTP/1.1\r\nHost: a\r\nB: c\r\n\r\n");
  LONGS_EQUAL(2, head.fields);
  LONGS_EQUAL(33, head.bytes);
  CHECK(!head.has_folded_line);
  CHECK(InspectHead("GET / HTTP/1.1\r\nB: c\r\n\td\r\n\r\n").has_folded_line);
}

// Many short fields take a multiple of their bytes.
TEST(HeadMemory, FieldsCountBesideBytes) {
  CHECK(MemoryOf({.bytes = 15'000, .fields = 2400}) >
        10 * MemoryOf({.bytes = 15'000, .fields = 1}) / 2);
  CHECK(IsSmall({.bytes = 600, .fields = 20}));
  CHECK(!IsSmall({.bytes = 600, .fields = 100}));
  CHECK(!IsSmall({.bytes = 15'000, .fields = 1}));
}

TEST(HeadMemory, SharesAreBoundedTogether) {
  HeadMemory memory(100);
  HeadMemory::Share one(memory);
  CHECK(one.GrowTo(60));
  {
    HeadMemory::Share other(memory);
    CHECK(!other.GrowTo(50));
    LONGS_EQUAL(60, memory.used());
    CHECK(other.GrowTo(40));
    LONGS_EQUAL(100, memory.used());
  }
  LONGS_EQUAL(60, memory.used());
  CHECK(one.GrowTo(50));
  CHECK(one.GrowTo(100));
  LONGS_EQUAL(100, memory.used());
}

TEST(HeadMemory, AMovedShareIsGivenBackOnce) {
  HeadMemory memory(100);
  {
    HeadMemory::Share first(memory);
    first.GrowTo(30);
    HeadMemory::Share second(std::move(first));
    HeadMemory::Share third(memory);
    third.GrowTo(20);
    third = std::move(second);
    LONGS_EQUAL(50, memory.used());
  }
  LONGS_EQUAL(0, memory.used());
}

TEST(HeadMemory, WithoutALimitEverythingFits) {
  HeadMemory::Share share;
  CHECK(share.GrowTo(std::string::npos));
}
