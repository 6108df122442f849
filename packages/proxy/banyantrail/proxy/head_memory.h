#pragma once

#include <cstddef>
#include <string_view>
#include <utility>

namespace banyantrail {

/// Default for the number of fields in a request head. Clients send some
/// twenty; servers of other make refuse above a hundred.
inline constexpr std::size_t kMaxHeadFields = 128;
/// Fields that an entry node may add before it sends a request to another node.
inline constexpr std::size_t kMaxAddedFields = 32;

/// What the text of a head shows, before the parser makes an object of each
/// field.
struct HeadText {
  std::size_t bytes = 0;
  std::size_t fields = 0;
  /// A line continues on the next one, which begins with white space
  /// (obs-fold). Servers interpret such lines differently.
  bool has_folded_line = false;
};

/// `text` is a head with the empty line behind it.
HeadText InspectHead(std::string_view text);

/// Bytes that a head takes here: its text as long as it is in the buffer of the
/// connection, and its fields, each with an allocation of its own.
std::size_t MemoryOf(const HeadText& head);

/// Heads that may be large are limited together; those that cannot be are not,
/// so that ordinary requests are served beside a crowd of large ones.
bool IsSmall(const HeadText& head);

/// The memory that the heads of requests may take together, at all connections
/// of a node. A head is counted from when it is known to be large until its
/// request is answered.
class HeadMemory {
 public:
  explicit HeadMemory(std::size_t max_bytes) : m_max_bytes(max_bytes) {}
  HeadMemory(const HeadMemory&) = delete;
  HeadMemory& operator=(const HeadMemory&) = delete;

  /// What one request has taken. Given back when it is destroyed.
  class Share {
   public:
    Share() = default;
    explicit Share(HeadMemory& memory) : m_memory(&memory) {}
    Share(Share&& other) noexcept
        : m_memory(std::exchange(other.m_memory, nullptr)),
          m_bytes(std::exchange(other.m_bytes, 0)) {}
    Share& operator=(Share&& other) noexcept {
      std::swap(m_memory, other.m_memory);
      std::swap(m_bytes, other.m_bytes);
      return *this;
    }
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;
    ~Share();

    /// Takes as much as is missing to `bytes`. Returns false and takes nothing
    /// if there is too little left.
    bool GrowTo(std::size_t bytes);

   private:
    HeadMemory* m_memory = nullptr;
    std::size_t m_bytes = 0;
  };

  /// Bytes taken by all shares.
  std::size_t used() const { return m_used; }
  std::size_t max_bytes() const { return m_max_bytes; }

 private:
  std::size_t m_max_bytes;
  std::size_t m_used = 0;
};

}  // namespace banyantrail
