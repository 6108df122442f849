#include "banyantrail/store/json_array_split.h"

#include <cstddef>

namespace banyantrail {
namespace {

/// Moves through JSON text without interpreting values.
class JsonScanner {
 public:
  explicit JsonScanner(std::string_view text) : m_text(text) {}

  std::size_t position() const { return m_position; }

  /// The next character that is not white space; 0 at the end.
  char Peek() {
    while (!AtEnd() && IsSpace(m_text[m_position])) {
      ++m_position;
    }
    return AtEnd() ? '\0' : m_text[m_position];
  }

  /// Moves past the character `expected`. Returns false if another one is next.
  bool Accept(char expected) {
    if (Peek() != expected) {
      return false;
    }
    ++m_position;
    return true;
  }

  /// Moves past one value and returns its text; empty if there is none.
  std::string_view TakeValue() {
    const char first = Peek();
    const std::size_t start = m_position;
    if (first == '"') {
      SkipString();
    } else if (first == '{' || first == '[') {
      SkipBrackets();
    } else {
      SkipLiteral();
    }
    return m_text.substr(start, m_position - start);
  }

 private:
  static bool IsSpace(char c) {
    return c == ' ' || c == '\t' || c == '\n' || c == '\r';
  }

  bool AtEnd() const { return m_position >= m_text.size(); }

  void SkipString() {
    ++m_position;
    while (!AtEnd() && m_text[m_position] != '"') {
      m_position += m_text[m_position] == '\\' ? 2 : 1;
    }
    ++m_position;
  }

  void SkipBrackets() {
    std::size_t depth = 0;
    do {
      const char c = m_text[m_position];
      if (c == '"') {
        SkipString();
        continue;
      }
      if (c == '{' || c == '[') {
        ++depth;
      } else if (c == '}' || c == ']') {
        --depth;
      }
      ++m_position;
    } while (depth > 0 && !AtEnd());
  }

  void SkipLiteral() {
    constexpr std::string_view kEnd = ",]} \t\r\n";
    while (!AtEnd() &&
           kEnd.find(m_text[m_position]) == std::string_view::npos) {
      ++m_position;
    }
  }

  std::string_view m_text;
  std::size_t m_position = 0;
};

std::string_view StripQuotes(std::string_view text) {
  return text.size() < 2 ? text : text.substr(1, text.size() - 2);
}

/// Takes the elements of an array whose opening bracket has been passed, and
/// its closing bracket. Returns nothing if the array does not end.
std::optional<std::vector<std::string_view>> TakeElements(
    JsonScanner& scanner) {
  std::vector<std::string_view> elements;
  if (scanner.Accept(']')) {
    return elements;
  }
  do {
    const std::string_view element = scanner.TakeValue();
    if (element.empty()) {
      return std::nullopt;
    }
    elements.push_back(element);
  } while (scanner.Accept(','));
  if (!scanner.Accept(']')) {
    return std::nullopt;
  }
  return elements;
}

}  // namespace

std::optional<JsonArraySplit> SplitJsonArray(std::string_view text,
                                             std::string_view name) {
  JsonScanner scanner(text);
  if (!scanner.Accept('{')) {
    return std::nullopt;
  }
  do {
    const std::string_view key = scanner.TakeValue();
    if (key.empty() || !scanner.Accept(':')) {
      return std::nullopt;
    }
    const bool is_array = scanner.Peek() == '[';
    if (StripQuotes(key) != name || !is_array) {
      scanner.TakeValue();
      continue;
    }
    scanner.Accept('[');
    const std::size_t start = scanner.position();
    auto elements = TakeElements(scanner);
    if (!elements) {
      return std::nullopt;
    }
    const std::size_t end = scanner.position() - 1;
    std::string rest(text.substr(0, start));
    rest += text.substr(end);
    return JsonArraySplit{.rest = std::move(rest),
                          .elements = *std::move(elements)};
  } while (scanner.Accept(','));
  return std::nullopt;
}

}  // namespace banyantrail
