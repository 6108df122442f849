#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "banyantrail/config/release.h"

namespace banyantrail {

/// Objects in one release.
inline constexpr std::size_t kMaxReleaseObjects = 20'000;
/// Bytes of all keys and canonical texts of one release. A whole release has to
/// fit into one frame between nodes (8 MiB) with its framing.
inline constexpr std::size_t kMaxReleaseBytes = std::size_t{6} << 20U;
/// Routing rules that may share one path prefix, told apart by selector or
/// method.
inline constexpr std::size_t kMaxRulesPerPrefix = 256;

/// A configuration ready for use, or every fault that speaks against it.
struct CompileResult {
  /// Empty when there are faults: a release is taken whole or not at all.
  std::optional<CompiledConfig> config;
  std::vector<Fault> faults;
};

/// Objects that were parsed from texts before, by key. Successive releases
/// share most of their objects.
struct ParsedObjects {
  struct Entry {
    std::string text;
    ConfigObject object;
  };

  std::map<std::string, Entry> entries;
};

struct CompileOptions {
  /// Keys that count as declared although they are absent, because their own
  /// faults are reported elsewhere. Only for listing faults: the resulting
  /// configuration would lack them.
  std::set<std::string> assumed_keys;
  /// Takes objects from here where the text is the same, and leaves here what
  /// it parsed. May be null.
  ParsedObjects* parsed = nullptr;
};

/// Checks a release as a whole: every text, every reference, ranks, and that
/// no two routing rules can claim the same request on the same proxy. Depends
/// on the release alone, so each node comes to the same result.
CompileResult CompileRelease(const Release& release,
                             const CompileOptions& options = {});

}  // namespace banyantrail
