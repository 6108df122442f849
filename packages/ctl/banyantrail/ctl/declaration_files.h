#pragma once

#include <filesystem>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "banyantrail/config/release.h"

namespace banyantrail::ctl {

/// Size limit of a declaration file.
inline constexpr std::size_t kMaxFileBytes = std::size_t{16} << 20U;

/// A declaration file before parsing.
struct DeclarationFile {
  /// Relative to the directory passed to ReadDeclarationFiles.
  std::string path;
  std::string text;
};

/// The objects of a directory and the file that declares each.
struct Declarations {
  ObjectTexts objects;
  /// Maps an object key to its file, or to its file and array index, such as
  /// "a.json[2]".
  std::map<std::string, std::string> origins;
  /// All faults, of single objects and of references between objects. A fault
  /// that concerns an object names its file.
  std::vector<Fault> faults;
};

/// Reads all *.json files under a directory, sorted by path. Throws
/// Error{kNotFound} if the directory or a file cannot be read, and
/// Error{kInvalidDeclaration} for a file larger than kMaxFileBytes.
std::vector<DeclarationFile> ReadDeclarationFiles(
    const std::filesystem::path& directory);

/// Parses the files, each of which holds one object or an array of objects, and
/// compiles all objects as one release to check them.
Declarations ParseDeclarations(const std::vector<DeclarationFile>& files);

/// Prefixes the file to the place of each fault that concerns an object in
/// `origins`.
std::vector<Fault> LocateFaults(
    std::vector<Fault> faults,
    const std::map<std::string, std::string>& origins);

}  // namespace banyantrail::ctl
