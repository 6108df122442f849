#include "banyantrail/traffic/refusal_cache.h"

namespace banyantrail {

void RefusalCache::OnRefused(const EndpointKey& endpoint,
                             const RequestUrgency& urgency,
                             TimePoint now) {
  m_refusals[endpoint] = {.urgency = urgency,
                          .expires_at = now + m_options.ttl};
}

void RefusalCache::OnAdmitted(const EndpointKey& endpoint) {
  m_refusals.erase(endpoint);
}

bool RefusalCache::Applies(const Refusal& refusal,
                           const RequestUrgency& urgency,
                           TimePoint now) {
  if (now >= refusal.expires_at) {
    return false;
  }
  const RequestUrgency& refused = refusal.urgency;
  return urgency.priority >= refused.priority && urgency.slack <= refused.slack;
}

void RefusalCache::EvictExpired(TimePoint now) {
  std::erase_if(m_refusals, [now](const auto& refusal) {
    return now >= refusal.second.expires_at;
  });
}

}  // namespace banyantrail
