#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "banyantrail/net/http_server.h"

namespace banyantrail::test {

/// An in-process HTTP server that imitates the deployment's metadata store and
/// can inject faults.
class ObjectStoreStandIn {
 public:
  explicit ObjectStoreStandIn(asio::io_context& io);

  const IpEndpoint& address() const { return m_address; }

  /// Creates or replaces an object. Returns the new revision of the store.
  std::uint64_t Write(const std::string& kind,
                      const std::string& name,
                      nlohmann::json specification);
  void Remove(const std::string& kind, const std::string& name);

  /// Drops the history of changes. Watches that start before the current
  /// revision fail with status 410.
  void Compact() { m_history_from = m_revision; }

  /// A copy of what the store holds.
  class Copy;
  Copy TakeCopy() const;

  /// Comes back from a copy, in the next era: what was written since is gone,
  /// and its revisions are given out again.
  void ComeBack(const Copy& copy);

  /// The era that all responses name; none if empty.
  std::optional<std::uint64_t> era;
  /// If set, the text of the header in place of the era.
  std::optional<std::string> era_text;
  /// The call, by method and path, whose response is held back while this is
  /// set. It names the era in which it was given.
  std::string held_call;

  /// Every watch fails with status 410.
  bool keeps_no_history = false;
  /// If not 0, the status of the response to every call.
  unsigned error_status = 0;
  /// While set, calls that arrive or are pending get no response.
  bool unresponsive = false;
  /// Number of further changes that take effect but get a response with 500.
  int lose_responses = 0;
  /// Maximum number of objects per page of a list.
  std::size_t page_size = 500;
  /// Reads that may be stale do not see any object.
  bool stale_copy_lags = false;
  /// Lists have a `has_more` field of an unexpected type.
  bool odd_paging = false;
  /// Bytes of further items of every list and of further events of every watch,
  /// separated by commas; they need not be valid JSON values.
  std::string raw_items;
  /// Number of calls other than reads that may be stale.
  int full_calls = 0;
  /// Number of calls, by method and path without the query.
  std::map<std::string, int> calls;

 private:
  struct Change {
    std::uint64_t revision = 0;
    std::string kind;
    nlohmann::json object;
    bool deleted = false;
  };
  using Key = std::pair<std::string, std::string>;

  asio::awaitable<void> NeverRespond();
  asio::awaitable<HttpResponse> Respond(HttpRequest request);
  asio::awaitable<HttpResponse> Handle(HttpRequest request);
  HttpResponse ApplyChange(const HttpRequest& request, const Key& key);
  HttpResponse WriteStatus(const Key& key, const nlohmann::json& body);
  asio::awaitable<HttpResponse> Watch(std::string kind,
                                      std::uint64_t after,
                                      milliseconds wait);
  HttpResponse List(const std::string& kind, const std::string& after) const;
  HttpResponse WithRawItems(const nlohmann::json& fields,
                            const std::string& name,
                            const nlohmann::json& items) const;
  nlohmann::json EventsAfter(const std::string& kind,
                             std::uint64_t after) const;

  asio::io_context& m_io;
  IpEndpoint m_address;
  std::uint64_t m_revision = 100;
  std::uint64_t m_history_from = 0;
  std::map<Key, nlohmann::json> m_objects;
  std::vector<Change> m_changes;
  std::unique_ptr<HttpServer> m_server;
};

class ObjectStoreStandIn::Copy {
 private:
  friend class ObjectStoreStandIn;

  std::uint64_t m_revision = 0;
  std::map<Key, nlohmann::json> m_objects;
  std::vector<Change> m_changes;
};

}  // namespace banyantrail::test
