#include "banyantrail/store/store_era.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "banyantrail/core/logging.h"

namespace banyantrail {
namespace {

const ComponentLogger kLog("store");

/// An era is a decimal number of 64 bits without a sign. Empty for other text.
std::optional<std::uint64_t> ParseEra(std::string_view text) {
  const char* const end = text.data() + text.size();
  std::uint64_t era = 0;
  const auto parsed = std::from_chars(text.data(), end, era);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return era;
}

/// The text of a header for a log line, limited in length.
std::string Quoted(std::optional<std::string_view> header) {
  constexpr std::size_t kMaxLength = 40;
  return header ? "\"" + std::string(header->substr(0, kMaxLength)) + "\""
                : "none";
}

}  // namespace

StoreEra::StoreEra(std::function<void(const std::string&)> count_event)
    : m_count_event(std::move(count_event)) {}

StoreEra::Verdict StoreEra::OnResponse(Ticket ticket,
                                       std::optional<std::string_view> header) {
  const std::optional<std::uint64_t> era =
      header ? ParseEra(*header) : std::nullopt;
  if (!era) {
    return OnOddResponse(header);
  }
  m_in_odd_run = false;
  if (!m_known) {
    Learn(*era);
    return Verdict::kCurrent;
  }
  return *era == *m_known ? Verdict::kCurrent : OnOtherEra(ticket, *era);
}

/// A response that names no valid era, which is usual for a store that never
/// named one.
StoreEra::Verdict StoreEra::OnOddResponse(
    std::optional<std::string_view> header) {
  if (m_known && !m_in_odd_run) {
    m_in_odd_run = true;
    m_count_event("store_era_odd");
    kLog.Warn("The store's responses name no valid era any more (header: " +
              Quoted(header) + "). Era " + std::to_string(*m_known) +
              " is kept. Check the store.");
  }
  return Verdict::kCurrent;
}

/// Of a call that was sent before the known era was learned, a lower era is
/// that of the store of before. A greater one is news whenever the call was
/// sent.
StoreEra::Verdict StoreEra::OnOtherEra(Ticket ticket, std::uint64_t era) {
  if (ticket <= m_learned_after && era < *m_known) {
    return Verdict::kOutdated;
  }
  kLog.Event({{"event", "store_era_changed"}, {"from", *m_known}, {"to", era}});
  ++m_changes;
  m_count_event("store_era_changed");
  Learn(era);
  return Verdict::kChanged;
}

void StoreEra::Learn(std::uint64_t era) {
  m_known = era;
  m_learned_after = m_sent;
}

}  // namespace banyantrail
