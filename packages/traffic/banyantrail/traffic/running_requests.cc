#include "banyantrail/traffic/running_requests.h"

namespace banyantrail {

void RunningRequests::Add(const std::string& request) {
  if (!request.empty()) {
    ++m_counts[request];
  }
}

void RunningRequests::Remove(const std::string& request) {
  const auto found = m_counts.find(request);
  if (found != m_counts.end() && --found->second == 0) {
    m_counts.erase(found);
  }
}

bool RunningRequests::IsCall(std::string_view request) const {
  const std::size_t end = request.rfind(kCallSeparator);
  return end != std::string_view::npos &&
         m_counts.find(request.substr(0, end)) != m_counts.end();
}

}  // namespace banyantrail
