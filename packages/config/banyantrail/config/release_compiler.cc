#include "banyantrail/config/release_compiler.h"

namespace banyantrail {

std::shared_ptr<const CompileResult> ReleaseCompiler::Compile(
    const Release& release) {
  const std::lock_guard lock(m_mutex);
  const bool is_last =
      m_result && m_revision == release.revision && m_digest == release.digest;
  if (is_last) {
    return m_result;
  }
  m_result = std::make_shared<const CompileResult>(CompileRelease(
      release,
      {.checks = ValueChecks::kAccepted, .parsed_objects = &m_parsed_objects}));
  m_revision = release.revision;
  m_digest = release.digest;
  std::erase_if(m_parsed_objects.entries, [&release](const auto& entry) {
    return !release.objects.contains(entry.first);
  });
  return m_result;
}

}  // namespace banyantrail
