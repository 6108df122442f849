#pragma once

#include <filesystem>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "banyantrail/config/release.h"

namespace banyantrail::ctl {

/// Bytes of one file of declarations.
inline constexpr std::size_t kMaxFileBytes = std::size_t{16} << 20U;

/// A file of declarations as it was read.
struct DeclarationFile {
  /// Relative to the directory that was named.
  std::string path;
  std::string text;
};

/// The objects of a directory and where each stands.
struct Declarations {
  ObjectTexts objects;
  /// Object key to file, or to file and position in its array: "a.json[2]".
  std::map<std::string, std::string> origins;
  /// Every fault, of single objects and of the whole, each with its file.
  std::vector<Fault> faults;
};

/// Reads every *.json under a directory, sorted by path. Throws
/// Error{kNotFound} if the directory or a file cannot be read,
/// Error{kInvalidDeclaration} for a file above kMaxFileBytes.
std::vector<DeclarationFile> ReadDeclarationFiles(
    const std::filesystem::path& directory);

/// Parses the files, each holding one object or an array of objects, and
/// compiles the whole.
Declarations ParseDeclarations(const std::vector<DeclarationFile>& files);

/// Puts the file in front of faults that name an object only.
std::vector<Fault> LocateFaults(
    std::vector<Fault> faults,
    const std::map<std::string, std::string>& origins);

}  // namespace banyantrail::ctl
