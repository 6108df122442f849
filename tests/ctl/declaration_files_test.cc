#include "banyantrail/ctl/declaration_files.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>

#include "banyantrail/core/errors.h"

using banyantrail::Error;
using banyantrail::Fault;
using banyantrail::ctl::Declarations;
using banyantrail::ctl::LocateFaults;
using banyantrail::ctl::ParseDeclarations;
using banyantrail::ctl::ReadDeclarationFiles;

namespace {

bool HasFault(const Declarations& declarations, const std::string& place) {
  return std::ranges::any_of(declarations.faults, [&](const Fault& fault) {
    return fault.place == place;
  });
}

}  // namespace

TEST_GROUP(DeclarationFiles){};

TEST(DeclarationFiles, AcceptsOneObjectOrAnArray) {
  const Declarations declarations = ParseDeclarations(
      {{"a.json", R"({"kind":"service","name":"a"})"},
       {"b.json",
        R"([{"kind":"service","name":"b"},{"kind":"selector","name":"s"}])"}});
  CHECK(declarations.faults.empty());
  LONGS_EQUAL(3, declarations.objects.size());
  STRCMP_EQUAL("b.json[1]", declarations.origins.at("selector/s").c_str());
}

TEST(DeclarationFiles, ListsFaultsOfAllFilesInOneRun) {
  const Declarations declarations = ParseDeclarations(
      {{"broken.json", "{"},
       {"ranks.json", R"([{"kind":"rank","name":"k","priority":1000}])"},
       {"rules/r.json",
        R"([{"kind":"routing_rule","name":"r","selector":"gone",)"
        R"("service":"a","rank":"k","path_prefix":"/r","deadline_ms":5}])"},
       {"services.json", R"({"kind":"service","name":"a"})"},
       {"twice.json", R"({"kind":"service","name":"a"})"}});
  CHECK(HasFault(declarations, "broken.json"));
  CHECK(HasFault(declarations, "ranks.json[0]: rank/k: priority"));
  CHECK(HasFault(declarations, "rules/r.json[0]: routing_rule/r: selector"));
  CHECK(HasFault(declarations, "twice.json: service/a"));
  // rank/k is invalid but declared, so the reference to it is not a fault.
  LONGS_EQUAL(4, declarations.faults.size());
}

TEST(DeclarationFiles, FaultsOfOtherObjectsKeepTheirPlace) {
  const auto faults = LocateFaults(
      {{.place = "service/a: labels"}, {.place = "rank: share_percent"}},
      {{"service/a", "a.json"}});
  STRCMP_EQUAL("a.json: service/a: labels", faults[0].place.c_str());
  STRCMP_EQUAL("rank: share_percent", faults[1].place.c_str());
}

TEST(DeclarationFiles, ReadsDirectoriesRecursively) {
  const auto files = ReadDeclarationFiles(EXAMPLES_DIR "/liushu");
  CHECK(std::ranges::any_of(files, [](const auto& file) {
    return file.path == "declarations/ranks.json";
  }));
}

TEST(DeclarationFiles, MissingDirectoryThrowsError) {
  CHECK_THROWS(Error, ReadDeclarationFiles(EXAMPLES_DIR "/no-such-folder"));
}
