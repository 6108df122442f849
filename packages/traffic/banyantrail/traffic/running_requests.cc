#include "banyantrail/traffic/running_requests.h"

namespace banyantrail {

void RunningRequests::Add(const std::string& request_id) {
  if (!request_id.empty()) {
    ++m_counts[request_id];
  }
}

void RunningRequests::Remove(const std::string& request_id) {
  const auto found = m_counts.find(request_id);
  if (found != m_counts.end() && --found->second == 0) {
    m_counts.erase(found);
  }
}

bool RunningRequests::IsNestedCall(std::string_view request_id) const {
  const std::size_t separator = request_id.rfind(kNestedCallSeparator);
  return separator != std::string_view::npos &&
         m_counts.find(request_id.substr(0, separator)) != m_counts.end();
}

}  // namespace banyantrail
