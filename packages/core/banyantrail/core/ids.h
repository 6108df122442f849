#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <msgpack.hpp>
#include <ostream>
#include <string>
#include <utility>

#include "banyantrail/core/revision.h"

namespace banyantrail {

/// A string identifier. Identifiers with different tags are distinct types.
template <typename Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string value) : m_value(std::move(value)) {}

  const std::string& str() const { return m_value; }
  bool empty() const { return m_value.empty(); }

  // clang-tidy 14 mistakes a defaulted comparison for a null pointer constant.
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
using TeamName = Id<struct TeamNameTag>;
using ChangeId = Id<struct ChangeIdTag>;

/// Position of a release in the history that the project keeps in its own
/// store, without gaps; 0 before the first one.
using ReleaseNumber = std::uint64_t;

/// Identifies one run of a node; greater after each start. Orders the records
/// of a node that was replaced by another one with the same id.
using Incarnation = std::uint64_t;

}  // namespace banyantrail

template <typename Tag>
struct std::hash<banyantrail::Id<Tag>> {
  std::size_t operator()(const banyantrail::Id<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.str());
  }
};
