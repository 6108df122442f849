#pragma once

#include <memory>
#include <mutex>
#include <string>

#include "banyantrail/config/compile.h"

namespace banyantrail {

/// Compiles the accepted releases of one node. The result for the latest
/// release is cached, since both distribution and routing need it, and only
/// objects that differ from the previous release are parsed. Thread-safe.
class ReleaseCompiler {
 public:
  std::shared_ptr<const CompileResult> Compile(const Release& release);

 private:
  std::mutex m_mutex;
  ParsedObjectCache m_parsed_objects;
  Revision m_revision;
  std::string m_digest;
  std::shared_ptr<const CompileResult> m_result;
};

}  // namespace banyantrail
