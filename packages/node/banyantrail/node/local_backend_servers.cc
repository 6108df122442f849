#include "banyantrail/node/local_backend_servers.h"

#include <algorithm>
#include <utility>

#include "banyantrail/core/errors.h"
#include "banyantrail/core/text.h"

namespace banyantrail {
namespace {

void CheckNames(const BackendServerRecord& record) {
  if (IsPrintableId(record.id.str()) && IsPrintableId(record.service.str())) {
    return;
  }
  throw Error({.kind = ErrorKind::kInvalidDeclaration,
               .message = "the id or the service of a backend server is empty, "
                          "longer than " +
                          std::to_string(kMaxIdBytes) + " bytes or no text",
               .remedy = "use printable UTF-8"});
}

}  // namespace

/// A process keeps its service and its address.
void LocalBackendServers::CheckIsSameProcess(
    const Announcement& announcement) const {
  const auto found = m_entries.find(announcement.record.id);
  if (found == m_entries.end() || announcement.generation == 0 ||
      found->second.generation != announcement.generation) {
    return;
  }
  const BackendServerRecord& known = found->second.record;
  const bool same_service = known.service == announcement.record.service;
  if (!same_service || known.address != announcement.record.address) {
    throw Error({.kind = ErrorKind::kInvalidDeclaration,
                 .message = std::string(same_service ? "address" : "service") +
                            " differs from what this process announced before",
                 .remedy = "announce another process with its own start time"});
  }
}

/// Whether a later announcement from the backend server, or from its successor
/// at the same address, has already been processed.
bool LocalBackendServers::IsOutdated(const Announcement& announcement) const {
  const BackendServerRecord& record = announcement.record;
  const auto departed = m_departed.find(record.id);
  if (announcement.generation != 0 && departed != m_departed.end() &&
      announcement.generation <= departed->second.generation) {
    return true;
  }
  return std::ranges::any_of(m_entries, [&](const auto& entry) {
    const Entry& known = entry.second;
    if (known.record.id == record.id) {
      const bool has_sequence =
          announcement.sequence != 0 || known.sequence != 0;
      const bool is_old_sequence =
          has_sequence && announcement.sequence <= known.sequence;
      return announcement.generation < known.generation ||
             (announcement.generation == known.generation && is_old_sequence);
    }
    return known.record.address == record.address &&
           announcement.generation < known.generation;
  });
}

/// Removes backend servers that used the address before. The start of another
/// process at an address means that the previous one has exited.
void LocalBackendServers::RemovePredecessors(const Announcement& announcement) {
  std::erase_if(m_entries, [&](const auto& entry) {
    return entry.first != announcement.record.id &&
           announcement.generation > 0 &&
           entry.second.record.address == announcement.record.address;
  });
}

bool LocalBackendServers::Announce(Announcement announcement, TimePoint now) {
  if (IsOutdated(announcement)) {
    return false;
  }
  CheckNames(announcement.record);
  CheckIsSameProcess(announcement);
  RemovePredecessors(announcement);
  BackendServerRecord record = announcement.record;
  if (m_draining) {
    record.state = BackendServerState::kDraining;
  }
  const auto found = m_entries.find(record.id);
  if (found == m_entries.end() && m_entries.size() >= m_options.max_servers) {
    throw Error({.kind = ErrorKind::kInvalidDeclaration,
                 .message = "too many backend servers at this node",
                 .remedy = "register at most " +
                           std::to_string(m_options.max_servers)});
  }
  const bool is_same_process =
      found != m_entries.end() &&
      found->second.generation == announcement.generation;
  const bool was_draining =
      is_same_process &&
      found->second.record.state == BackendServerState::kDraining;
  const bool drain_was_announced =
      is_same_process && found->second.drain_announced;
  const bool drain_announced =
      drain_was_announced ||
      announcement.record.state == BackendServerState::kDraining;
  if (was_draining && announcement.generation > 0) {
    // A process that has started to drain does not return to serving.
    record.state = BackendServerState::kDraining;
  }
  const bool changed = !is_same_process || !(found->second.record == record);
  const BackendServerId id = record.id;
  m_entries[id] = {.record = std::move(record),
                   .generation = announcement.generation,
                   .sequence = announcement.sequence,
                   .last_heartbeat = now,
                   .drain_announced = drain_announced};
  return changed;
}

bool LocalBackendServers::Deregister(const Departure& departure,
                                     TimePoint now,
                                     std::uint64_t max_generation) {
  const auto found = m_entries.find(departure.id);
  std::uint64_t generation = departure.generation;
  if (found == m_entries.end() && generation == 0) {
    generation = max_generation;
  }
  if (found != m_entries.end()) {
    if (generation != 0 && generation < found->second.generation) {
      return false;  // Sent by an earlier process.
    }
    generation = std::max(generation, found->second.generation);
  }
  RecordDeparture({.id = departure.id, .generation = generation}, now);
  return m_entries.erase(departure.id) > 0;
}

void LocalBackendServers::RecordDeparture(const Departure& departure,
                                          TimePoint now) {
  if (departure.generation == 0) {
    return;  // Cannot be told apart from the next process with the same id.
  }
  DepartedProcess& departed = m_departed[departure.id];
  departed = {.generation = std::max(departed.generation, departure.generation),
              .departed_at = now};
}

std::vector<Departure> LocalBackendServers::Departures() const {
  std::map<BackendServerId, std::uint64_t> generations;
  for (const auto& [id, departed] : m_departed) {
    generations[id] = departed.generation;
  }
  for (const auto& [id, entry] : m_entries) {
    if (entry.drain_announced && entry.generation > 0) {
      generations[id] = std::max(generations[id], entry.generation);
    }
  }
  std::vector<Departure> departures;
  departures.reserve(generations.size());
  for (const auto& [id, generation] : generations) {
    departures.push_back({.id = id, .generation = generation});
  }
  return departures;
}

void LocalBackendServers::RestoreDepartures(
    const std::vector<Departure>& departures,
    TimePoint now) {
  for (const Departure& departure : departures) {
    RecordDeparture(departure, now);
    const auto found = m_entries.find(departure.id);
    if (found != m_entries.end() &&
        found->second.generation <= departure.generation) {
      m_entries.erase(found);
    }
  }
}

bool LocalBackendServers::Expire(TimePoint now) {
  constexpr int kRemovalFactor = 10;
  bool changed = false;
  std::erase_if(m_departed, [&](const auto& departed) {
    return now - departed.second.departed_at >
           kRemovalFactor * m_options.heartbeat_timeout;
  });
  for (auto entry = m_entries.begin(); entry != m_entries.end();) {
    const Duration time_since_heartbeat = now - entry->second.last_heartbeat;
    if (time_since_heartbeat > kRemovalFactor * m_options.heartbeat_timeout) {
      entry = m_entries.erase(entry);
      changed = true;
      continue;
    }
    if (time_since_heartbeat > m_options.heartbeat_timeout) {
      changed = MarkDown(entry->first) || changed;
    }
    ++entry;
  }
  return changed;
}

bool LocalBackendServers::MarkDown(const BackendServerId& id) {
  const auto found = m_entries.find(id);
  if (found == m_entries.end() ||
      found->second.record.state == BackendServerState::kDown) {
    return false;
  }
  found->second.record.state = BackendServerState::kDown;
  return true;
}

void LocalBackendServers::DrainAll() {
  m_draining = true;
  for (auto& [id, entry] : m_entries) {
    entry.record.state = BackendServerState::kDraining;
  }
}

const BackendServerRecord* LocalBackendServers::Find(
    const BackendServerId& id) const {
  const auto found = m_entries.find(id);
  return found == m_entries.end() ? nullptr : &found->second.record;
}

std::vector<BackendServerRecord> LocalBackendServers::Records() const {
  std::vector<BackendServerRecord> records;
  for (const auto& [id, entry] : m_entries) {
    records.push_back(entry.record);
  }
  return records;
}

}  // namespace banyantrail
