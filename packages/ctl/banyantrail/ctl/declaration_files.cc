#include "banyantrail/ctl/declaration_files.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "banyantrail/config/compile.h"
#include "banyantrail/config/json_text.h"
#include "banyantrail/config/object_json.h"
#include "banyantrail/core/errors.h"

namespace banyantrail::ctl {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;

Error ReadError(const fs::path& path, const std::string& reason) {
  return Error({.kind = ErrorKind::kNotFound,
                .message = "cannot read " + path.string() + ": " + reason,
                .remedy = "pass a directory with readable *.json files"});
}

std::string ReadText(const fs::path& path) {
  if (fs::file_size(path) > kMaxFileBytes) {
    throw Error({.kind = ErrorKind::kInvalidDeclaration,
                 .message = path.string() + " is larger than " +
                            std::to_string(kMaxFileBytes) + " bytes",
                 .remedy = "split it into several files"});
  }
  std::ifstream in(path, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(in), {}};
  if (!in) {
    throw ReadError(path, "read error");
  }
  return text;
}

std::vector<fs::path> FindJsonFiles(const fs::path& directory) {
  std::vector<fs::path> paths;
  for (const auto& entry : fs::recursive_directory_iterator(directory)) {
    if (entry.is_regular_file() && entry.path().extension() == ".json") {
      paths.push_back(entry.path());
    }
  }
  std::ranges::sort(paths);
  return paths;
}

/// Collects the objects and faults of all files.
class DeclarationCollector {
 public:
  void AddFile(const DeclarationFile& file) {
    JsonTextResult parsed = ParseJsonText(file.text, file.path);
    Append(std::move(parsed.faults));
    if (parsed.value.is_array()) {
      AddArray(parsed.value, file.path);
    } else if (!parsed.value.is_null()) {
      AddObject(parsed.value, file.path);
    }
  }

  Declarations Finish() {
    CompileResult compiled = CompileRelease({.objects = m_result.objects},
                                            {.assumed_keys = m_faulty_keys});
    Append(LocateFaults(std::move(compiled.faults), m_result.origins));
    return std::move(m_result);
  }

 private:
  void AddArray(const json& array, const std::string& path) {
    for (std::size_t i = 0; i < array.size(); ++i) {
      AddObject(array[i], path + "[" + std::to_string(i) + "]");
    }
  }

  void AddObject(const json& value, const std::string& origin) {
    ObjectParseResult parsed = ParseObject(value, origin);
    if (!parsed.object) {
      RecordFaultyKey(value);
      Append(std::move(parsed.faults));
      return;
    }
    const std::string key = ToString(KeyOf(*parsed.object));
    const auto [previous, is_new] = m_result.origins.emplace(key, origin);
    if (!is_new) {
      m_result.faults.push_back(
          {.place = origin + ": " + key,
           .message = "is already declared in " + previous->second,
           .remedy = "remove one of the two declarations"});
      return;
    }
    m_result.objects[key] = CanonicalJson(*parsed.object);
  }

  void RecordFaultyKey(const json& value) {
    if (value.is_object() && value.contains("kind") &&
        value["kind"].is_string() && value.contains("name") &&
        value["name"].is_string()) {
      m_faulty_keys.insert(value["kind"].get<std::string>() + "/" +
                           value["name"].get<std::string>());
    }
  }

  void Append(std::vector<Fault> faults) {
    std::ranges::move(faults, std::back_inserter(m_result.faults));
  }

  Declarations m_result;
  std::set<std::string> m_faulty_keys;
};

}  // namespace

std::vector<DeclarationFile> ReadDeclarationFiles(const fs::path& directory) {
  std::vector<DeclarationFile> files;
  try {
    for (const fs::path& path : FindJsonFiles(directory)) {
      files.push_back({.path = path.lexically_relative(directory).string(),
                       .text = ReadText(path)});
    }
  } catch (const fs::filesystem_error& error) {
    throw ReadError(error.path1(), error.code().message());
  }
  return files;
}

Declarations ParseDeclarations(const std::vector<DeclarationFile>& files) {
  DeclarationCollector collector;
  for (const DeclarationFile& file : files) {
    collector.AddFile(file);
  }
  return collector.Finish();
}

std::vector<Fault> LocateFaults(
    std::vector<Fault> faults,
    const std::map<std::string, std::string>& origins) {
  for (Fault& fault : faults) {
    const std::string key = fault.place.substr(0, fault.place.find(':'));
    const auto origin = origins.find(key);
    if (origin != origins.end()) {
      fault.place = origin->second + ": " + fault.place;
    }
  }
  return faults;
}

}  // namespace banyantrail::ctl
