#include "banyantrail/core/logging.h"

#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>
#include <string>

using banyantrail::ComponentLogger;

TEST_GROUP(Logging){};

// Ids and header fields come from outside and may hold bytes that are no text.
// The line for such an id threw an exception, and what came after it was not
// done.
TEST(Logging, BytesThatAreNoTextCanBeLogged) {
  const ComponentLogger log("test");
  log.Event({{"event", "test"}, {"id", std::string("i-7f\xff\xfe")}});
  log.Info(std::string("backend server i-7f\xff\xfe"));
}
