#include "banyantrail/traffic/refusal_memory.h"

namespace banyantrail {

void RefusalMemory::OnRefused(const EndpointKey& endpoint,
                              const RoomRequest& request,
                              TimePoint now) {
  m_refusals[endpoint] = {.request = request, .until = now + m_options.hold};
}

void RefusalMemory::OnTaken(const EndpointKey& endpoint) {
  m_refusals.erase(endpoint);
}

bool RefusalMemory::WouldRefuse(const EndpointKey& endpoint,
                                const RoomRequest& request,
                                TimePoint now) const {
  const auto found = m_refusals.find(endpoint);
  if (found == m_refusals.end() || now >= found->second.until) {
    return false;
  }
  const RoomRequest& refused = found->second.request;
  return request.priority >= refused.priority && request.slack <= refused.slack;
}

void RefusalMemory::Tidy(TimePoint now) {
  std::erase_if(m_refusals, [now](const auto& refusal) {
    return now >= refusal.second.until;
  });
}

}  // namespace banyantrail
