#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <msgpack.hpp>
#include <ostream>
#include <string>
#include <utility>

namespace banyantrail {

/// A string identifier that cannot be mixed up with one of another kind.
template <typename Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string value) : m_value(std::move(value)) {}

  const std::string& str() const { return m_value; }
  bool empty() const { return m_value.empty(); }

  // clang-tidy 14 takes the body of a defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const Id&, const Id&) = default;
  friend bool operator==(const Id&, const Id&) = default;
  friend std::ostream& operator<<(std::ostream& out, const Id& id) {
    return out << id.m_value;
  }

  MSGPACK_DEFINE(m_value)

 private:
  std::string m_value;
};

using NodeId = Id<struct NodeIdTag>;
using DomainId = Id<struct DomainIdTag>;
using RegionId = Id<struct RegionIdTag>;
using BackendServerId = Id<struct BackendServerIdTag>;
using ServiceName = Id<struct ServiceNameTag>;
using RuleName = Id<struct RuleNameTag>;
using SelectorName = Id<struct SelectorNameTag>;
using RankName = Id<struct RankNameTag>;
using CallerLimitsName = Id<struct CallerLimitsNameTag>;
using ChangeId = Id<struct ChangeIdTag>;

/// Position in the one linear history of accepted configurations. Dense, and
/// the only definition of "newer". 0 stands for "no configuration yet".
using Revision = std::uint64_t;

/// Number of a node's life: greater after each start. It orders the records of
/// a node that was replaced in place.
using Incarnation = std::uint64_t;

}  // namespace banyantrail

template <typename Tag>
struct std::hash<banyantrail::Id<Tag>> {
  std::size_t operator()(const banyantrail::Id<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.str());
  }
};
