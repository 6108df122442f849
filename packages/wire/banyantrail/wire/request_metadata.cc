#include "banyantrail/wire/request_metadata.h"

#include <array>
#include <charconv>
#include <limits>

namespace banyantrail {
namespace {

constexpr char kSeparator = ';';
constexpr char kEscape = '%';
constexpr int kHexBase = 16;
constexpr std::size_t kFieldCount = 10;
constexpr char kIdempotentFlag = 'i';
constexpr char kNestedCallFlag = 'n';

bool NeedsEscape(char c) {
  return c == kSeparator || c == kEscape || c <= ' ' || c > '~';
}

/// Names are chosen by operators and backend servers, and may contain any
/// character.
void AppendName(std::string& text, std::string_view name) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  for (const char c : name) {
    if (!NeedsEscape(c)) {
      text += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    text += kEscape;
    text += kDigits[byte / kHexBase];
    text += kDigits[byte % kHexBase];
  }
}

std::optional<std::string> ParseName(std::string_view text) {
  constexpr std::size_t kEscapeLength = 3;
  std::string name;
  while (!text.empty()) {
    if (text.front() != kEscape) {
      name += text.front();
      text.remove_prefix(1);
      continue;
    }
    unsigned byte = 0;
    const std::string_view digits = text.substr(1, kEscapeLength - 1);
    const char* end = digits.data() + digits.size();
    const auto [parsed, error] =
        std::from_chars(digits.data(), end, byte, kHexBase);
    if (digits.size() < kEscapeLength - 1 || error != std::errc{} ||
        parsed != end) {
      return std::nullopt;
    }
    name += static_cast<char>(byte);
    text.remove_prefix(kEscapeLength);
  }
  return name;
}

template <typename Number>
std::optional<Number> ParseNumber(std::string_view text, int base = 10) {
  Number number = 0;
  const char* end = text.data() + text.size();
  const auto [parsed, error] = std::from_chars(text.data(), end, number, base);
  if (error != std::errc{} || parsed != end) {
    return std::nullopt;
  }
  return number;
}

std::string FormatHex(std::uint64_t number) {
  std::array<char, 2 * sizeof(number)> digits{};
  const auto [end, error] = std::to_chars(
      digits.data(), digits.data() + digits.size(), number, kHexBase);
  return {digits.data(), end};
}

std::optional<std::array<std::string_view, kFieldCount>> SplitFields(
    std::string_view text) {
  std::array<std::string_view, kFieldCount> fields;
  for (std::size_t i = 0; i < kFieldCount; ++i) {
    const std::size_t end = text.find(kSeparator);
    const bool is_last = i + 1 == kFieldCount;
    if ((end == std::string_view::npos) != is_last) {
      return std::nullopt;
    }
    fields[i] = text.substr(0, end);
    text.remove_prefix(is_last ? text.size() : end + 1);
  }
  return fields;
}

}  // namespace

std::string FormatRequestMetadata(const RequestMetadata& metadata) {
  std::string text = std::to_string(metadata.time_left.count()) + kSeparator;
  if (metadata.target_left) {
    text += std::to_string(metadata.target_left->count());
  }
  text += kSeparator + std::to_string(metadata.depth) + kSeparator +
          std::to_string(metadata.priority) + kSeparator;
  if (metadata.is_idempotent) {
    text += kIdempotentFlag;
  }
  if (metadata.is_nested_call) {
    text += kNestedCallFlag;
  }
  text += kSeparator + FormatHex(metadata.kind);
  for (const std::string_view name :
       {std::string_view(metadata.service.str()),
        std::string_view(metadata.server.str()),
        std::string_view(metadata.caller_service.str()),
        std::string_view(metadata.body_hash)}) {
    text += kSeparator;
    AppendName(text, name);
  }
  return text;
}

std::optional<RequestMetadata> ParseRequestMetadata(std::string_view text) {
  const auto fields = SplitFields(text);
  if (!fields) {
    return std::nullopt;
  }
  const auto& [time_left, target_left, depth, priority, flags, kind, service,
               server, caller, body_hash] = *fields;
  const auto parsed_time_left = ParseNumber<std::uint32_t>(time_left);
  const auto parsed_target = ParseNumber<std::uint32_t>(target_left);
  const auto parsed_depth = ParseNumber<std::uint32_t>(depth);
  const auto parsed_priority = ParseNumber<std::uint8_t>(priority);
  const auto parsed_kind = ParseNumber<std::uint64_t>(kind, kHexBase);
  const auto parsed_service = ParseName(service);
  const auto parsed_server = ParseName(server);
  const auto parsed_caller = ParseName(caller);
  const auto parsed_body_hash = ParseName(body_hash);
  const bool is_complete = parsed_time_left && parsed_depth &&
                           parsed_priority && parsed_kind && parsed_service &&
                           parsed_server && parsed_caller && parsed_body_hash &&
                           (target_left.empty() || parsed_target);
  if (!is_complete) {
    return std::nullopt;
  }
  RequestMetadata metadata{
      .time_left = milliseconds(*parsed_time_left),
      .depth = *parsed_depth,
      .priority = *parsed_priority,
      .is_idempotent = flags.find(kIdempotentFlag) != std::string_view::npos,
      .is_nested_call = flags.find(kNestedCallFlag) != std::string_view::npos,
      .kind = *parsed_kind,
      .service = ServiceName(*parsed_service),
      .server = BackendServerId(*parsed_server),
      .caller_service = ServiceName(*parsed_caller),
      .body_hash = *parsed_body_hash};
  if (parsed_target) {
    metadata.target_left = milliseconds(*parsed_target);
  }
  return metadata;
}

}  // namespace banyantrail
