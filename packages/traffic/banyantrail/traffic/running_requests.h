#pragma once

#include <map>
#include <string>
#include <string_view>

namespace banyantrail {

/// Ids of the requests that run at the backend servers of this node. A backend
/// server that makes nested calls for a request forms their ids from the id of
/// the request, a separator and a suffix. A request is recognised as a nested
/// call only if its parent request is running here, because the id alone is not
/// trustworthy.
class RunningRequests {
 public:
  static constexpr char kNestedCallSeparator = '.';

  void Add(const std::string& request_id);
  void Remove(const std::string& request_id);

  /// Whether a request with this id is a nested call of one that runs here.
  bool IsNestedCall(std::string_view request_id) const;

  std::size_t size() const { return m_counts.size(); }

 private:
  std::map<std::string, unsigned, std::less<>> m_counts;
};

}  // namespace banyantrail
