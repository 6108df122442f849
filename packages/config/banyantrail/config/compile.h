#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "banyantrail/config/json_object_reader.h"
#include "banyantrail/config/release.h"

namespace banyantrail {

/// Maximum number of objects in one declared release.
inline constexpr std::size_t kMaxReleaseObjects = 20'000;
/// Maximum total size of the keys and canonical texts of one declared release.
/// A whole release must fit, with its encoding overhead, into one 8 MiB frame
/// between nodes.
inline constexpr std::size_t kMaxReleaseBytes = std::size_t{6} << 20U;
/// Maximum number of routing rules with the same host and path prefix, which
/// differ in selector or method.
inline constexpr std::size_t kMaxRulesPerPrefix = 256;

/// The compiled configuration, or every fault found in the release.
struct CompileResult {
  /// Empty when there are faults: a release is applied as a whole or not at
  /// all.
  std::optional<CompiledConfig> config;
  std::vector<Fault> faults;
};

/// Cache of parsed objects by key. Successive releases share most of their
/// objects.
struct ParsedObjectCache {
  struct Entry {
    std::string text;
    ConfigObject object;
  };

  std::map<std::string, Entry> entries;
};

struct CompileOptions {
  ValueChecks checks = ValueChecks::kDeclared;
  /// Keys that count as declared although they are absent, because the faults
  /// of these objects are reported elsewhere. Only for collecting faults: the
  /// resulting configuration would not contain these objects.
  std::set<std::string> assumed_keys;
  /// Objects whose text is unchanged are taken from this cache, and newly
  /// parsed ones are added to it. May be null.
  ParsedObjectCache* parsed_objects = nullptr;
};

/// Validates a release as a whole: every text, every reference, the ranks, and
/// that no two routing rules can match the same request on the same proxy.
/// Deterministic in the release and the checks alone, so every node gets the
/// same result.
CompileResult CompileRelease(const Release& release,
                             const CompileOptions& options = {});

}  // namespace banyantrail
