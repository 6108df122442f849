#include "banyantrail/node/local_backend_servers.h"

#include <utility>

#include "banyantrail/core/errors.h"

namespace banyantrail {

bool LocalBackendServers::Announce(BackendServerRecord record, TimePoint now) {
  if (m_draining) {
    record.state = BackendServerState::kDraining;
  }
  const auto found = m_entries.find(record.id);
  if (found == m_entries.end() && m_entries.size() >= m_options.max_servers) {
    throw Error({.kind = ErrorKind::kInvalidDeclaration,
                 .message = "too many backend servers at this node",
                 .remedy = "announce at most " +
                           std::to_string(m_options.max_servers)});
  }
  const bool changed =
      found == m_entries.end() || !(found->second.record == record);
  const BackendServerId id = record.id;
  m_entries[id] = {.record = std::move(record), .last_heartbeat = now};
  return changed;
}

bool LocalBackendServers::Leave(const BackendServerId& id) {
  return m_entries.erase(id) > 0;
}

bool LocalBackendServers::Expire(TimePoint now) {
  constexpr int kForgetFactor = 10;
  bool changed = false;
  for (auto entry = m_entries.begin(); entry != m_entries.end();) {
    const Duration silence = now - entry->second.last_heartbeat;
    if (silence > kForgetFactor * m_options.heartbeat_timeout) {
      entry = m_entries.erase(entry);
      changed = true;
      continue;
    }
    if (silence > m_options.heartbeat_timeout) {
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
