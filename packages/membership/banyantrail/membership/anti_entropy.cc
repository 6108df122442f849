#include "banyantrail/membership/anti_entropy.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "banyantrail/membership/member_merge.h"

namespace banyantrail {
namespace {

constexpr Duration kServingWindow = seconds(1);

/// Returns a random duration between half and one and a half of `interval`, so
/// that nodes that start together do not stay synchronised.
Duration Jittered(Duration interval, Rng& rng) {
  const auto span = static_cast<std::size_t>(interval.count());
  return interval / 2 + Duration(UniformIndex(rng, span + 1));
}

const NodeId* ChooseMember(const std::set<NodeId>& members,
                           const NodeId& excluded,
                           Rng& rng) {
  const std::size_t others = members.size() - members.count(excluded);
  if (others == 0) {
    return nullptr;
  }
  std::size_t index = UniformIndex(rng, others);
  for (const NodeId& member : members) {
    if (member != excluded && index-- == 0) {
      return &member;
    }
  }
  return nullptr;
}

std::set<NodeId> AllLiveMembers(const MembershipTable& table) {
  std::set<NodeId> all;
  for (const auto& [domain, members] : table.live_members()) {
    all.insert(members.begin(), members.end());
  }
  return all;
}

std::vector<std::uint32_t> DifferingBuckets(
    const std::vector<std::uint64_t>& left,
    const std::vector<std::uint64_t>& right) {
  std::vector<std::uint32_t> buckets;
  for (std::uint32_t i = 0; i < left.size(); ++i) {
    if (left[i] != right[i]) {
      buckets.push_back(i);
    }
  }
  return buckets;
}

/// A record that tells a peer that the incarnation it holds as live is dead.
MemberRecord DeathNoticeFor(const MemberVersion& version) {
  return {.node = version.node,
          .incarnation = version.incarnation,
          .state = MemberState::kDead};
}

/// The records that the two sides of a pull have to exchange.
struct PullDifference {
  std::vector<NodeId> to_send;
  std::vector<NodeId> to_request;
  std::vector<MemberRecord> death_notices;
};

PullDifference CompareBuckets(const MembershipPullMessage& pull,
                              const MembershipTable& table) {
  PullDifference difference;
  std::set<NodeId> known;
  for (const MemberVersion& theirs : pull.known) {
    known.insert(theirs.node);
    const MemberRecord* ours = table.Find(theirs.node);
    if (ours != nullptr) {
      if (IsNewerThan(VersionOf(*ours), theirs)) {
        difference.to_send.push_back(theirs.node);
      }
      if (IsNewerThan(theirs, VersionOf(*ours))) {
        difference.to_request.push_back(theirs.node);
      }
    } else if (IsLive(theirs.state)) {
      if (theirs.incarnation <= table.TombstoneIncarnation(theirs.node)) {
        difference.death_notices.push_back(DeathNoticeFor(theirs));
      } else {
        difference.to_request.push_back(theirs.node);
      }
    }
  }
  for (const std::uint32_t bucket : pull.buckets) {
    if (bucket >= table.bucket_hashes().size()) {
      continue;
    }
    for (const NodeId& node : table.Bucket(bucket)) {
      if (!known.contains(node) && table.IsLiveMember(node)) {
        difference.to_send.push_back(node);
      }
    }
  }
  return difference;
}

}  // namespace

AntiEntropy::AntiEntropy(Options options)
    : m_options(std::move(options)),
      m_seed_interval(m_options.min_seed_interval) {}

void AntiEntropy::SetReleaseDigest(Revision revision, std::string digest) {
  m_revision = revision;
  m_release_digest = std::move(digest);
}

void AntiEntropy::SetSeeds(std::vector<IpEndpoint> seeds) {
  m_seeds = std::move(seeds);
}

std::vector<OutgoingMessage> AntiEntropy::Tick(const MembershipTable& table,
                                               TimePoint now,
                                               Rng& rng) {
  std::vector<OutgoingMessage> messages;
  if (!m_next_digest) {
    m_next_digest = now + Jittered(m_options.digest_interval, rng);
    m_next_seed = now;
    m_next_join = now;
  }
  if (!m_has_joined && now >= *m_next_join) {
    Join(table, now, rng, messages);
  }
  if (m_options.sends_digests && now >= *m_next_digest) {
    m_next_digest = now + m_options.digest_interval;
    SendDigests(table, rng, messages);
  }
  if (now >= *m_next_seed) {
    m_next_seed = now + Jittered(m_seed_interval, rng);
    m_seed_interval =
        std::min(2 * m_seed_interval, m_options.max_seed_interval);
    ContactSeeds(table, rng, messages);
  }
  return messages;
}

std::vector<OutgoingMessage> AntiEntropy::OnDigest(const NodeId& from,
                                                   const DigestMessage& digest,
                                                   const MembershipTable& table,
                                                   TimePoint now,
                                                   Rng& rng) {
  std::vector<OutgoingMessage> messages;
  if (digest.wants_reply) {
    messages.push_back(
        {.to = from,
         .message = DigestMessage{.revision = m_revision,
                                  .release_digest = m_release_digest}});
  }
  if (digest.membership_hashes.size() != table.bucket_hashes().size()) {
    return messages;
  }
  std::vector<std::uint32_t> buckets =
      DifferingBuckets(digest.membership_hashes, table.bucket_hashes());
  if (buckets.size() > m_options.max_buckets_per_pull) {
    m_next_digest = now + m_options.join_interval;
  }
  if (!buckets.empty()) {
    std::shuffle(buckets.begin(), buckets.end(), rng);
    buckets.resize(std::min(buckets.size(), m_options.max_buckets_per_pull));
    messages.push_back(
        {.to = from, .message = MakePull(std::move(buckets), table)});
  }
  return messages;
}

std::vector<OutgoingMessage> AntiEntropy::OnPull(
    const NodeId& from,
    const MembershipPullMessage& pull,
    const MembershipTable& table,
    TimePoint now) {
  std::vector<OutgoingMessage> messages;
  PullDifference difference = CompareBuckets(pull, table);
  difference.to_send.insert(difference.to_send.end(), pull.wanted.begin(),
                            pull.wanted.end());
  SendRecords(from, difference.to_send, table, now, messages);
  if (!difference.death_notices.empty()) {
    messages.push_back({.to = from,
                        .message = MembershipUpdateMessage{
                            .records = std::move(difference.death_notices)}});
  }
  if (!difference.to_request.empty()) {
    messages.push_back({.to = from,
                        .message = MembershipPullMessage{
                            .wanted = std::move(difference.to_request)}});
  }
  return messages;
}

void AntiEntropy::RestartJoin(TimePoint now) {
  m_next_join = now;
  m_join_buckets_pulled = 0;
  m_has_joined = false;
}

void AntiEntropy::OnMessageFromDomain(const DomainId& domain) {
  m_unanswered_digests.erase(domain);
}

std::set<DomainId> AntiEntropy::UnreachableDomains() const {
  std::set<DomainId> domains;
  for (const auto& [domain, unanswered] : m_unanswered_digests) {
    if (unanswered >= m_options.max_unanswered_digests) {
      domains.insert(domain);
    }
  }
  return domains;
}

DigestMessage AntiEntropy::MakeDigest(const MembershipTable& table) const {
  return {.revision = m_revision,
          .release_digest = m_release_digest,
          .membership_hashes = table.bucket_hashes(),
          .wants_reply = true};
}

MembershipPullMessage AntiEntropy::MakePull(
    std::vector<std::uint32_t> buckets,
    const MembershipTable& table) const {
  MembershipPullMessage pull{.buckets = std::move(buckets)};
  for (const std::uint32_t bucket : pull.buckets) {
    for (const NodeId& node : table.Bucket(bucket)) {
      pull.known.push_back(VersionOf(*table.Find(node)));
    }
  }
  return pull;
}

void AntiEntropy::Join(const MembershipTable& table,
                       TimePoint now,
                       Rng& rng,
                       std::vector<OutgoingMessage>& messages) {
  const std::set<NodeId> members = AllLiveMembers(table);
  const NodeId* member = ChooseMember(members, m_options.self, rng);
  if (member == nullptr) {
    return;
  }
  messages.push_back(
      {.to = *member,
       .message = DigestMessage{.revision = m_revision,
                                .release_digest = m_release_digest,
                                .wants_reply = true}});
  messages.push_back(
      {.to = *member, .message = MakePull(NextJoinBuckets(table), table)});
  m_next_join = now + m_options.join_interval;
  m_has_joined = m_join_buckets_pulled >=
                 m_options.join_rounds * table.bucket_hashes().size();
}

void AntiEntropy::ContactSeeds(const MembershipTable& table,
                               Rng& rng,
                               std::vector<OutgoingMessage>& messages) {
  const MemberRecord* own = table.Find(m_options.self);
  std::vector<IpEndpoint> seeds;
  std::sample(m_seeds.begin(), m_seeds.end(), std::back_inserter(seeds),
              m_options.seeds_per_contact, rng);
  for (const IpEndpoint& seed : seeds) {
    if (seed != own->peer_address) {
      messages.push_back(
          {.to = seed, .message = MembershipUpdateMessage{.records = {*own}}});
      messages.push_back({.to = seed, .message = MakeDigest(table)});
    }
  }
}

void AntiEntropy::SendDigests(const MembershipTable& table,
                              Rng& rng,
                              std::vector<OutgoingMessage>& messages) {
  std::vector<DomainId> other_domains;
  for (const auto& [domain, members] : table.live_members()) {
    if (domain == m_options.domain) {
      SendDigestToOneOf(members, table, rng, messages);
    } else {
      other_domains.push_back(domain);
    }
  }
  if (!other_domains.empty()) {
    const DomainId& domain =
        other_domains[UniformIndex(rng, other_domains.size())];
    ++m_unanswered_digests[domain];
    SendDigestToOneOf(table.live_members().at(domain), table, rng, messages);
  }
  SendDigestToOneOf(table.dead_members(), table, rng, messages);
}

void AntiEntropy::SendDigestToOneOf(
    const std::set<NodeId>& members,
    const MembershipTable& table,
    Rng& rng,
    std::vector<OutgoingMessage>& messages) const {
  const NodeId* member = ChooseMember(members, m_options.self, rng);
  if (member != nullptr) {
    messages.push_back({.to = *member, .message = MakeDigest(table)});
  }
}

std::vector<std::uint32_t> AntiEntropy::NextJoinBuckets(
    const MembershipTable& table) {
  const std::size_t bucket_count = table.bucket_hashes().size();
  std::vector<std::uint32_t> buckets;
  for (std::size_t i = 0;
       i < std::min(m_options.max_buckets_per_pull, bucket_count); ++i) {
    buckets.push_back(
        static_cast<std::uint32_t>(m_join_buckets_pulled++ % bucket_count));
  }
  return buckets;
}

std::size_t AntiEntropy::TakeServingBudget(std::size_t wanted, TimePoint now) {
  if (now - m_serving_window_start >= kServingWindow) {
    m_serving_window_start = now;
    m_records_served_in_window = 0;
  }
  const std::size_t left =
      m_options.max_records_served_per_second - m_records_served_in_window;
  const std::size_t taken = std::min(wanted, left);
  m_records_served_in_window += taken;
  return taken;
}

void AntiEntropy::SendRecords(const NodeId& to,
                              const std::vector<NodeId>& nodes,
                              const MembershipTable& table,
                              TimePoint now,
                              std::vector<OutgoingMessage>& messages) {
  const std::size_t count = TakeServingBudget(nodes.size(), now);
  MembershipUpdateMessage update;
  for (std::size_t i = 0; i < count; ++i) {
    const MemberRecord* record = table.Find(nodes[i]);
    if (record == nullptr) {
      continue;
    }
    update.records.push_back(*record);
    if (update.records.size() == m_options.max_records_per_message) {
      messages.push_back({.to = to, .message = std::exchange(update, {})});
    }
  }
  if (!update.records.empty()) {
    messages.push_back({.to = to, .message = std::move(update)});
  }
}

}  // namespace banyantrail
