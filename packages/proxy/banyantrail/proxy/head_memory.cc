#include "banyantrail/proxy/head_memory.h"

namespace banyantrail {
namespace {

constexpr std::size_t kMaxSmallBytes = 4096;
constexpr std::size_t kMaxSmallFields = 64;

/// Size of the parser's object for a field, beside its text, with what the
/// allocator adds.
constexpr std::size_t kFieldBytes = 96;

}  // namespace

HeadText InspectHead(std::string_view text) {
  constexpr std::size_t kLinesWithoutField = 2;
  HeadText head{.bytes = text.size()};
  std::size_t lines = 0;
  for (std::size_t end = text.find('\n'); end != std::string_view::npos;
       end = text.find('\n', end + 1)) {
    ++lines;
    const char next = end + 1 < text.size() ? text[end + 1] : '\0';
    head.has_folded_line = head.has_folded_line || next == ' ' || next == '\t';
  }
  head.fields = lines > kLinesWithoutField ? lines - kLinesWithoutField : 0;
  return head;
}

std::size_t MemoryOf(const HeadText& head) {
  constexpr std::size_t kCopiesOfText = 2;
  return kCopiesOfText * head.bytes + kFieldBytes * head.fields;
}

bool IsSmall(const HeadText& head) {
  return head.bytes <= kMaxSmallBytes && head.fields <= kMaxSmallFields;
}

HeadMemory::Share::~Share() {
  if (m_memory != nullptr) {
    m_memory->m_used -= m_bytes;
  }
}

bool HeadMemory::Share::GrowTo(std::size_t bytes) {
  if (m_memory == nullptr || bytes <= m_bytes) {
    return true;
  }
  const std::size_t missing = bytes - m_bytes;
  if (missing > m_memory->m_max_bytes - m_memory->m_used) {
    return false;
  }
  m_memory->m_used += missing;
  m_bytes = bytes;
  return true;
}

}  // namespace banyantrail
