#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "banyantrail/net/http_server.h"

namespace banyantrail::test {

/// The users' metadata store in this process, over HTTP, with fault switches.
class ObjectStoreStandIn {
 public:
  explicit ObjectStoreStandIn(asio::io_context& io);

  const IpEndpoint& address() const { return m_address; }

  /// Writes an object as the operator would. Returns the store's revision.
  std::uint64_t Write(const std::string& kind,
                      const std::string& name,
                      nlohmann::json specification);
  void Remove(const std::string& kind, const std::string& name);

  /// Forgets all changes up to now: watches from before get 410.
  void Compact() { m_history_from = m_revision; }

  /// All calls are answered with this status instead, unless it is 0.
  unsigned refuse_with = 0;
  /// Calls that arrive or wait meanwhile are never answered.
  bool silent = false;
  /// So many further changes take effect and are answered with 500.
  int lose_answers = 0;
  /// Objects of one page of a list.
  std::size_t page = 500;
  /// Calls by method and path without query.
  std::map<std::string, int> calls;

 private:
  struct Change {
    std::uint64_t revision = 0;
    std::string kind;
    nlohmann::json object;
    bool deleted = false;
  };
  using Key = std::pair<std::string, std::string>;

  asio::awaitable<void> NeverAnswer();
  asio::awaitable<HttpResponse> Handle(HttpRequest request);
  HttpResponse ApplyChange(const HttpRequest& request, const Key& key);
  asio::awaitable<HttpResponse> Watch(std::string kind,
                                      std::uint64_t after,
                                      milliseconds wait);
  HttpResponse List(const std::string& kind, const std::string& after) const;
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

}  // namespace banyantrail::test
