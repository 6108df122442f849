#include "banyantrail/config/json_text.h"

#include <set>
#include <string>
#include <utility>

namespace banyantrail {
namespace {

using nlohmann::json;

constexpr int kMaxNestingDepth = 32;

/// Aborts the parser; caught in ParseJsonText.
struct NestingTooDeep {};

/// Detects duplicate keys within one object from the parser's events; the
/// parser itself would silently keep the last value.
class DuplicateKeyFinder {
 public:
  DuplicateKeyFinder(std::string_view source, std::vector<Fault>& faults)
      : m_source(source), m_faults(&faults) {}

  void OnEvent(int depth, json::parse_event_t event, const json& parsed) {
    if (depth > kMaxNestingDepth) {
      throw NestingTooDeep{};
    }
    if (event == json::parse_event_t::object_start) {
      m_open_objects.emplace_back();
    } else if (event == json::parse_event_t::object_end) {
      m_open_objects.pop_back();
    } else if (event == json::parse_event_t::key) {
      OnKey(parsed.get_ref<const std::string&>());
    }
  }

 private:
  void OnKey(const std::string& key) {
    if (!m_open_objects.back().insert(key).second) {
      m_faults->push_back({.place = std::string(m_source) + ": " + key,
                           .message = "is a duplicate key",
                           .remedy = "remove one of the duplicates"});
    }
  }

  std::string_view m_source;
  std::vector<Fault>* m_faults;
  std::vector<std::set<std::string>> m_open_objects;
};

Fault SyntaxFault(std::string_view source, const json::parse_error& error) {
  // what() has the form
  // "[json.exception.parse_error.101] parse error at line ...".
  std::string message = error.what();
  const std::size_t bracket = message.find("] ");
  if (bracket != std::string::npos) {
    message.erase(0, bracket + 2);
  }
  return {.place = std::string(source),
          .message = "is not JSON: " + message,
          .remedy = "correct the text at that line and column"};
}

}  // namespace

JsonTextResult ParseJsonText(std::string_view text, std::string_view source) {
  JsonTextResult result;
  DuplicateKeyFinder finder(source, result.faults);
  const json::parser_callback_t on_event =
      [&](int depth, json::parse_event_t event, json& parsed) {
        finder.OnEvent(depth, event, parsed);
        return true;
      };
  try {
    json value = json::parse(text, on_event);
    if (result.faults.empty()) {
      result.value = std::move(value);
    }
  } catch (const json::parse_error& error) {
    result.faults.push_back(SyntaxFault(source, error));
  } catch (const NestingTooDeep&) {
    result.faults.push_back(
        {.place = std::string(source),
         .message = "is nested deeper than " +
                    std::to_string(kMaxNestingDepth) + " levels",
         .remedy = "write objects as docs/DECLARATIONS.md describes them"});
  }
  return result;
}

}  // namespace banyantrail
