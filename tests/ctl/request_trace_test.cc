#include "banyantrail/ctl/request_trace.h"

#include <CppUTest/TestHarness.h>

#include <sstream>

using banyantrail::ctl::ReadLog;
using banyantrail::ctl::RequestTrace;
using banyantrail::ctl::SortByTime;

TEST_GROUP(RequestTrace) {
  RequestTrace trace;

  void Read(const std::string& text) {
    std::istringstream log(text);
    ReadLog(log, "r1", trace);
  }
};

TEST(RequestTrace, MergesTheLinesOfSeveralNodes) {
  Read(
      R"({"time":"10:00:02","node":"n1","event":"refused","request":"r1","reason":"queue_full","status":503})"
      "\n"
      R"({"time":"10:00:02","node":"n1","event":"refused","request":"r2"})"
      "\n");
  Read(
      R"({"time":"10:00:01","node":"n2","event":"turned_away","request":"r1","in_flight":18})"
      "\n");
  SortByTime(trace);
  LONGS_EQUAL(2, trace.lines.size());
  STRCMP_EQUAL("n2", trace.lines[0].node.c_str());
  STRCMP_EQUAL("in_flight=18", trace.lines[0].details.c_str());
  STRCMP_EQUAL("refused", trace.lines[1].event.c_str());
  STRCMP_EQUAL("reason=queue_full status=503", trace.lines[1].details.c_str());
}

TEST(RequestTrace, CountsDroppedAndMalformedLines) {
  Read(R"({"time":"1","event":"log_lines_lost","count":7})"
       "\n"
       R"({"time":"2","event":"refused","request":"r2","left_out":3})"
       "\n"
       R"({"time":"3","event":"refu)"
       "\n");
  CHECK(trace.lines.empty());
  LONGS_EQUAL(10, trace.dropped_lines);
  LONGS_EQUAL(1, trace.malformed_lines);
}
