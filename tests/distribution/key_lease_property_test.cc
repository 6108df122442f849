#include "banyantrail/distribution/key_lease.h"

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "banyantrail/core/random.h"

// Replaces `new`, so it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using banyantrail::BootTimePoint;
using banyantrail::ConfirmationReplyMessage;
using banyantrail::ConfirmationRequestMessage;
using banyantrail::Duration;
using banyantrail::KeyLease;
using banyantrail::milliseconds;
using banyantrail::NodeId;
using banyantrail::Revision;
using banyantrail::Rng;
using banyantrail::seconds;

namespace {

/// A mechanism that a run leaves out, to show that the test notices it.
enum class Omission {
  kNone,
  /// A read of the store is dated when its response arrives.
  kSendingTimeOfRead,
  /// A reply of a peer is dated when it arrives.
  kSendingTimeOfRequest,
  /// The clock stops while the system is suspended.
  kSuspendedTime,
  /// Each process numbers its requests from 1.
  kRandomFirstSequence,
  /// A revision counts as applied when it is read.
  kWaitForApplication,
};

constexpr Duration kRevocation = seconds(5);
constexpr Duration kStep = milliseconds(50);
constexpr Duration kEnd = seconds(25);
constexpr std::size_t kNodes = 4;

/// A configuration that the sender has applied.
struct Push {
  Revision revision;
};

/// The response of the store to a read.
struct StoreResponse {
  Revision revision;
  BootTimePoint sent_at;
  unsigned process = 0;
};

struct Message {
  std::size_t from = 0;
  std::size_t to = 0;
  Duration arrives_at{};
  std::variant<ConfirmationRequestMessage,
               ConfirmationReplyMessage,
               Push,
               StoreResponse>
      body;
};

/// Four nodes and a store in virtual time, with random faults. Every
/// configuration removes a key that the one before it accepted.
class Schedule {
 public:
  Schedule(std::uint64_t seed, Omission omission)
      : m_rng(seed), m_omission(omission) {
    for (std::size_t node = 0; node < kNodes; ++node) {
      m_nodes.emplace_back(NewLease());
      m_nodes[node].clock_offset = milliseconds(Pick(0, 1'000'000));
    }
  }

  /// Whether a node accepted a key later than it may.
  bool IsViolated() {
    for (m_now = {}; m_now < kEnd; m_now += kStep) {
      InjectFaults();
      if (Chance(20)) {
        m_changed_at.push_back(m_now);
      }
      for (std::size_t node = 0; node < kNodes; ++node) {
        if (m_now >= m_nodes[node].halted_until && !Run(node)) {
          return true;
        }
      }
    }
    return false;
  }

  int accepted = 0;

 private:
  struct Node {
    explicit Node(KeyLease key_lease) : lease(std::move(key_lease)) {}
    KeyLease lease;
    Duration clock_offset{};
    Duration suspended{};
    Duration halted_until{};
    Duration cut_off_until{};
    Duration next_read_at{};
    Revision applied;
    /// A configuration that is being applied, and when that is done.
    Revision received;
    Duration applied_at{};
    unsigned process = 0;
  };

  std::int64_t Pick(std::int64_t min, std::int64_t max) {
    return std::uniform_int_distribution<std::int64_t>(min, max)(m_rng);
  }
  bool Chance(int one_in) { return Pick(1, one_in) == 1; }

  KeyLease NewLease() {
    const bool is_random = m_omission != Omission::kRandomFirstSequence;
    return KeyLease({.revocation = kRevocation}, is_random ? m_rng() : 1);
  }

  BootTimePoint Clock(const Node& node) const {
    const Duration lost = m_omission == Omission::kSuspendedTime
                              ? node.suspended
                              : Duration::zero();
    return BootTimePoint(node.clock_offset + m_now - lost);
  }

  Revision NewestRevision() const { return {.number = m_changed_at.size()}; }

  void InjectFaults() {
    Node& node = m_nodes[static_cast<std::size_t>(Pick(0, kNodes - 1))];
    if (Chance(60)) {
      node.cut_off_until = m_now + milliseconds(Pick(100, 9000));
    }
    if (m_now < node.halted_until) {
      return;
    }
    if (Chance(60)) {  // Frozen or suspended.
      const Duration halt = milliseconds(Pick(100, 9000));
      node.halted_until = m_now + halt;
      node.suspended += Chance(2) ? halt : Duration::zero();
    } else if (Chance(100)) {
      Restart(node);
    }
  }

  void Restart(Node& node) {
    node.lease = NewLease();
    node.applied = node.received = {
        .number = static_cast<std::uint64_t>(
            Pick(0, static_cast<std::int64_t>(NewestRevision().number)))};
    ++node.process;
  }

  /// Most messages are fast. Some are held back for seconds, as are those that
  /// cross a partition, or they are lost.
  Duration Delay(std::size_t from, std::size_t to) {
    Duration delay = milliseconds(Chance(10) ? Pick(0, 8000) : Pick(0, 100));
    for (const std::size_t node : {from, to}) {
      delay = std::max(delay, m_nodes[node].cut_off_until - m_now);
    }
    return delay;
  }

  template <typename Body>
  void Send(std::size_t from, std::size_t to, Body body) {
    if (!Chance(10)) {
      m_messages.push_back({from, to, m_now + Delay(from, to), body});
    }
  }

  /// Runs a node for one step. Returns false if it accepts a key too late.
  bool Run(std::size_t index) {
    Node& node = m_nodes[index];
    // What a node accepts right after it was halted, before it reads messages.
    if (!IsWithinBound(node)) {
      return false;
    }
    Receive(index);
    if (m_now >= node.applied_at) {
      node.applied = std::max(node.applied, node.received);
    }
    ReadStore(index);
    const auto request =
        node.lease.NextRequest(PeersOf(index), AppliedOf(node), Clock(node));
    if (request) {
      const std::size_t peer = std::stoul(request->peer.str());
      Send(index, peer, request->message);
    }
    if (Chance(10)) {
      Send(index, static_cast<std::size_t>(Pick(0, kNodes - 1)),
           Push{node.applied});
    }
    return IsWithinBound(node);
  }

  Revision AppliedOf(const Node& node) const {
    return m_omission == Omission::kWaitForApplication ? node.received
                                                       : node.applied;
  }

  /// The key that the first configuration above the applied one removed is
  /// still accepted by this node.
  bool IsWithinBound(const Node& node) {
    if (!node.lease.MayAcceptKeys(AppliedOf(node), Clock(node))) {
      return true;
    }
    ++accepted;
    return node.applied >= NewestRevision() ||
           m_now - m_changed_at[node.applied.number] <= kRevocation;
  }

  std::vector<NodeId> PeersOf(std::size_t index) const {
    std::vector<NodeId> peers;
    for (std::size_t peer = 0; peer < kNodes; ++peer) {
      if (peer != index) {
        peers.emplace_back(std::to_string(peer));
      }
    }
    return peers;
  }

  /// Nodes 0 and 1 read the store. A read returns what was the newest when it
  /// reached the store, also if the response is late, as a watch may.
  void ReadStore(std::size_t index) {
    Node& node = m_nodes[index];
    if (index > 1 || m_now < node.next_read_at) {
      return;
    }
    node.next_read_at = m_now + milliseconds(500);
    Send(index, index,
         StoreResponse{NewestRevision(), Clock(node), node.process});
  }

  void Receive(std::size_t index) {
    std::vector<Message> received;
    std::erase_if(m_messages, [&](const Message& message) {
      const bool is_due = message.to == index && message.arrives_at <= m_now;
      if (is_due) {
        received.push_back(message);
      }
      return is_due;
    });
    for (const Message& message : received) {
      std::visit([&](const auto& body) { On(index, message.from, body); },
                 message.body);
    }
  }

  void On(std::size_t index,
          std::size_t from,
          const ConfirmationRequestMessage& request) {
    Node& node = m_nodes[index];
    const auto reply = node.lease.ReplyTo(request, node.applied, Clock(node));
    if (reply) {
      Send(index, from, *reply);
    }
  }

  void On(std::size_t index,
          std::size_t,
          const ConfirmationReplyMessage& reply) {
    Node& node = m_nodes[index];
    if (m_omission == Omission::kSendingTimeOfRequest) {
      node.lease.OnStoreConfirmed(reply.revision,
                                  Clock(node) - milliseconds(reply.age_ms));
    } else {
      node.lease.OnReply(reply);
    }
  }

  void On(std::size_t index, std::size_t, const Push& push) {
    Receive(m_nodes[index], push.revision);
  }

  void On(std::size_t index, std::size_t, const StoreResponse& response) {
    Node& node = m_nodes[index];
    if (response.process != node.process) {
      return;
    }
    Receive(node, response.revision);
    node.lease.OnStoreConfirmed(response.revision,
                                m_omission == Omission::kSendingTimeOfRead
                                    ? Clock(node)
                                    : response.sent_at);
  }

  void Receive(Node& node, Revision revision) {
    if (revision > node.received) {
      node.received = revision;
      node.applied_at =
          m_now + milliseconds(Chance(10) ? Pick(0, 6000) : Pick(0, 100));
    }
  }

  Rng m_rng;
  Omission m_omission;
  Duration m_now{};
  /// When the store acknowledged each configuration; the first is revision 1.
  std::vector<Duration> m_changed_at = {Duration::zero()};
  std::vector<Node> m_nodes;
  std::vector<Message> m_messages;
};

/// Whether a key was accepted too late in one of the schedules.
bool HasViolation(Omission omission, std::uint64_t schedules) {
  for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
    if (Schedule(seed, omission).IsViolated()) {
      return true;
    }
  }
  return false;
}

constexpr std::uint64_t kSchedules = 10'000;
/// Enough for each omission to show.
constexpr std::uint64_t kFaultySchedules = 2000;

}  // namespace

TEST_GROUP(KeyLeaseProperty){};

TEST(KeyLeaseProperty, NoKeyIsAcceptedLongAfterItsRemoval) {
  CHECK_FALSE(HasViolation(Omission::kNone, kSchedules));
}

// A node that accepts nothing breaks no bound. In these schedules, where each
// node is often halted, cut off or restarted, at least a third of the checks
// must find a node that accepts keys.
TEST(KeyLeaseProperty, KeysAreAcceptedInTheSchedules) {
  constexpr int kChecksPerSchedule = 2 * kNodes * (kEnd / kStep);
  Schedule schedule(1, Omission::kNone);
  schedule.IsViolated();
  CHECK(schedule.accepted > kChecksPerSchedule / 3);
}

TEST(KeyLeaseProperty, NoticesAgesThatCountFromTheResponse) {
  CHECK(HasViolation(Omission::kSendingTimeOfRead, kFaultySchedules));
  CHECK(HasViolation(Omission::kSendingTimeOfRequest, kFaultySchedules));
}

TEST(KeyLeaseProperty, NoticesThatSuspendedTimeIsNotCounted) {
  CHECK(HasViolation(Omission::kSuspendedTime, kFaultySchedules));
}

TEST(KeyLeaseProperty, NoticesRepliesToAnEarlierProcess) {
  CHECK(HasViolation(Omission::kRandomFirstSequence, kFaultySchedules));
}

TEST(KeyLeaseProperty, NoticesUnappliedRevisions) {
  CHECK(HasViolation(Omission::kWaitForApplication, kFaultySchedules));
}
