// Checks that the users' example declarations compile.

#include <CppUTest/TestHarness.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

#include "banyantrail/config/compile.h"
#include "banyantrail/config/object_json.h"

namespace {

using banyantrail::Fault;
using banyantrail::Release;

void FailOnFaults(const std::vector<Fault>& faults) {
  for (const Fault& fault : faults) {
    FAIL((fault.place + ": " + fault.message).c_str());
  }
}

void AddFile(const std::filesystem::path& path, Release& release) {
  std::ifstream in(path);
  for (const nlohmann::json& object : nlohmann::json::parse(in)) {
    const auto parsed = banyantrail::ParseObject(object, path.string());
    FailOnFaults(parsed.faults);
    const std::string key = ToString(banyantrail::KeyOf(*parsed.object));
    release.objects[key] = banyantrail::CanonicalJson(*parsed.object);
  }
}

std::size_t CountRoutes(const std::string& example) {
  Release release{.revision = {.number = 1}};
  const auto folder =
      std::filesystem::path(EXAMPLES_DIR) / example / "declarations";
  for (const auto& file : std::filesystem::directory_iterator(folder)) {
    AddFile(file.path(), release);
  }
  const auto compiled = banyantrail::CompileRelease(release);
  FailOnFaults(compiled.faults);
  return compiled.config->routing_rules.size();
}

}  // namespace

TEST_GROUP(ExampleDeclarations){};

TEST(ExampleDeclarations, LiushuCompiles) {
  LONGS_EQUAL(6, CountRoutes("liushu"));
}

TEST(ExampleDeclarations, PistaClaraCompiles) {
  LONGS_EQUAL(5, CountRoutes("pista-clara"));
}
