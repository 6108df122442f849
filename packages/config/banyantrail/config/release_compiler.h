#pragma once

#include <memory>
#include <mutex>
#include <string>

#include "banyantrail/config/compile.h"

namespace banyantrail {

/// Compiles the releases of one node. A release is compiled once, although the
/// distribution checks it and the routing uses it, and only objects that differ
/// from those of the release before are parsed. Safe from any thread.
class ReleaseCompiler {
 public:
  std::shared_ptr<const CompileResult> Compile(const Release& release);

 private:
  std::mutex m_mutex;
  ParsedObjects m_parsed;
  Revision m_revision = 0;
  std::string m_digest;
  std::shared_ptr<const CompileResult> m_result;
};

}  // namespace banyantrail
