#pragma once

#include <map>
#include <string>
#include <string_view>

namespace banyantrail {

/// The names of the requests that run at the backend servers of this node. A
/// backend server names the calls that it makes for a request after it: the
/// request's name, a separator and a name of the call's own. So a call can be
/// told from a new request, without trusting the name alone: the request that
/// it belongs to has to run here.
class RunningRequests {
 public:
  static constexpr char kCallSeparator = '.';

  void Add(const std::string& request);
  void Remove(const std::string& request);

  /// Whether a request of this name is a call of one that runs here.
  bool IsCall(std::string_view request) const;

  std::size_t size() const { return m_counts.size(); }

 private:
  std::map<std::string, unsigned, std::less<>> m_counts;
};

}  // namespace banyantrail
