#include "banyantrail/distribution/relay_lease.h"

#include <algorithm>
#include <utility>

#include "banyantrail/config/json_object_reader.h"
#include "banyantrail/core/digest.h"
#include "banyantrail/core/errors.h"

namespace banyantrail {
namespace {

RelayLeaseValue ParseOrEmpty(const nlohmann::json& json) {
  try {
    return ParseRelayLeaseValue(json);
  } catch (const Error&) {
    return {};
  }
}

}  // namespace

std::string RelayKeyPrefix(const DomainId& domain) {
  return std::string(kRelayKeyPrefix) + domain.str() + "/";
}

std::string RelayKey(const DomainId& domain, std::size_t slot) {
  return RelayKeyPrefix(domain) + std::to_string(slot);
}

std::string StatusKey(const DomainId& domain, std::size_t slot) {
  return "status/" + domain.str() + "/" + std::to_string(slot);
}

nlohmann::json ToJson(const RelayLeaseValue& value) {
  return {{"node", value.node.str()},
          {"peer_address", ToString(value.peer_address)},
          {"term", value.term}};
}

RelayLeaseValue ParseRelayLeaseValue(const nlohmann::json& json) {
  std::vector<Fault> faults;
  JsonObjectReader reader(json, "relay lease", faults);
  RelayLeaseValue value{
      .node = NodeId(reader.RequiredString("node", kFreeTextRule)),
      .term = reader.RequiredInteger("term", {})};
  const std::string address =
      reader.RequiredString("peer_address", kFreeTextRule);
  reader.Finish();
  if (!faults.empty()) {
    throw Error({.kind = ErrorKind::kMalformedMessage,
                 .message = faults.front().place + " " + faults.front().message,
                 .remedy = faults.front().remedy});
  }
  try {
    value.peer_address = ParseIpEndpoint(address);
  } catch (const Error& error) {
    throw Error({.kind = ErrorKind::kMalformedMessage,
                 .message = "relay lease: " + error.message(),
                 .remedy = error.remedy()});
  }
  return value;
}

std::vector<NodeId> RendezvousOrder(const DomainId& domain,
                                    const std::vector<NodeId>& nodes,
                                    std::size_t max_count) {
  const std::uint64_t seed = Hash64(domain.str());
  std::vector<std::pair<std::uint64_t, const NodeId*>> weighted;
  weighted.reserve(nodes.size());
  for (const NodeId& node : nodes) {
    weighted.emplace_back(Hash64(node.str(), seed), &node);
  }
  const std::size_t count = std::min(max_count, weighted.size());
  std::partial_sort(
      weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(count),
      weighted.end(), [](const auto& a, const auto& b) {
        return a.first != b.first ? a.first > b.first : *a.second > *b.second;
      });
  std::vector<NodeId> order;
  order.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    order.push_back(*weighted[i].second);
  }
  return order;
}

std::vector<NodeId> RelayCandidates(const DomainId& domain,
                                    const std::vector<NodeId>& nodes) {
  return RendezvousOrder(domain, nodes, kRelaySlots);
}

RelayLease::RelayLease(Options options) : m_options(std::move(options)) {
  OnMembers({m_options.self});
}

void RelayLease::OnMembers(std::vector<NodeId> members) {
  m_members = std::move(members);
  m_candidates = RelayCandidates(m_options.domain, m_members);
}

void RelayLease::OnSlots(
    const std::array<std::optional<StoredObject>, kRelaySlots>& slots,
    TimePoint now) {
  for (std::size_t i = 0; i < kRelaySlots; ++i) {
    const std::uint64_t version = slots[i] ? slots[i]->version : 0;
    const bool changed = !m_slots[i].known || version != m_slots[i].version;
    if (changed) {
      m_slots[i] = {.known = true, .version = version, .first_observed = now};
      if (slots[i]) {
        m_slots[i].value = ParseOrEmpty(slots[i]->value);
      }
    }
  }
}

bool RelayLease::IsCandidate() const {
  return std::find(m_candidates.begin(), m_candidates.end(), m_options.self) !=
         m_candidates.end();
}

bool RelayLease::IsMember(const NodeId& node) const {
  return std::find(m_members.begin(), m_members.end(), node) != m_members.end();
}

bool RelayLease::NeedsSlots() const {
  return OwnSlot().has_value() || (!m_draining && IsCandidate());
}

bool RelayLease::IsFree(const Slot& slot, TimePoint now) const {
  if (!slot.value || slot.value->node.empty()) {
    return true;
  }
  const Duration expiry = IsMember(slot.value->node)
                              ? m_options.expiry
                              : m_options.dead_holder_expiry;
  return now - slot.first_observed >= expiry;
}

std::optional<std::size_t> RelayLease::OwnSlot() const {
  for (std::size_t i = 0; i < kRelaySlots; ++i) {
    if (m_slots[i].value && m_slots[i].value->node == m_options.self) {
      return i;
    }
  }
  return std::nullopt;
}

std::optional<std::size_t> RelayLease::FreeSlot(TimePoint now) const {
  // Each candidate tries a different slot first, so that they do not contend.
  const auto self =
      std::find(m_candidates.begin(), m_candidates.end(), m_options.self);
  const auto first = static_cast<std::size_t>(self - m_candidates.begin());
  for (std::size_t i = 0; i < kRelaySlots; ++i) {
    const std::size_t slot = (first + i) % kRelaySlots;
    if (IsFree(m_slots[slot], now)) {
      return slot;
    }
  }
  return std::nullopt;
}

RelayLeaseWrite RelayLease::MakeWrite(std::size_t slot, NodeId node) const {
  const Slot& current = m_slots[slot];
  const std::uint64_t term = current.value ? current.value->term : 0;
  const bool same_holder = current.value && current.value->node == node;
  return {.slot = slot,
          .expected_version = current.version,
          .value = {.node = std::move(node),
                    .peer_address = m_options.peer_address,
                    .term = same_holder ? term : term + 1}};
}

std::optional<RelayLeaseWrite> RelayLease::Decide(TimePoint now) const {
  const bool known = std::all_of(m_slots.begin(), m_slots.end(),
                                 [](const Slot& slot) { return slot.known; });
  if (!known) {
    return std::nullopt;
  }
  const bool eligible = !m_draining && IsCandidate();
  if (const auto own = OwnSlot()) {
    return MakeWrite(*own, eligible ? m_options.self : NodeId());
  }
  if (!eligible) {
    return std::nullopt;
  }
  if (const auto free = FreeSlot(now)) {
    return MakeWrite(*free, m_options.self);
  }
  return std::nullopt;
}

void RelayLease::OnWritten(const RelayLeaseWrite& write,
                           std::uint64_t version,
                           TimePoint now) {
  m_slots[write.slot] = {.known = true,
                         .version = version,
                         .value = write.value,
                         .first_observed = now};
  m_renewed_at.reset();
  if (write.value.node == m_options.self) {
    m_renewed_at = now;
  }
}

void RelayLease::OnWriteConflict(const RelayLeaseWrite& write) {
  Slot& slot = m_slots[write.slot];
  if (slot.value && slot.value->node == m_options.self) {
    m_renewed_at.reset();
  }
  // The state of the slot is unknown until it is read again.
  slot = {};
}

std::optional<std::size_t> RelayLease::HeldSlot(TimePoint now) const {
  const bool unexpired = m_renewed_at && now - *m_renewed_at < m_options.expiry;
  return unexpired ? OwnSlot() : std::nullopt;
}

std::vector<NodeId> RelayLease::Holders() const {
  std::vector<NodeId> holders;
  for (const Slot& slot : m_slots) {
    if (slot.value && !slot.value->node.empty()) {
      holders.push_back(slot.value->node);
    }
  }
  return holders;
}

}  // namespace banyantrail
