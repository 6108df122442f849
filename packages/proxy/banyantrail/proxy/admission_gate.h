#pragma once

#include <map>
#include <memory>
#include <optional>

#include "banyantrail/net/asio.h"
#include "banyantrail/traffic/admission.h"

namespace banyantrail {

/// Lets coroutines wait for the decisions of an AdmissionQueue. One gate stands
/// in front of each backend server of this node.
class AdmissionGate {
 public:
  AdmissionGate(asio::any_io_executor executor, AdmissionOptions options);
  AdmissionGate(const AdmissionGate&) = delete;
  AdmissionGate& operator=(const AdmissionGate&) = delete;
  ~AdmissionGate();

  /// A request arrives. When it is queued, Wait for it next.
  OfferResult Offer(const AdmissionRequest& work);

  /// Waits until a queued request may be sent. Returns the reason if it may
  /// not.
  asio::awaitable<std::optional<RefusalReason>> Wait(RequestId request);

  /// An admitted request ended.
  void Leave(RequestId request, AttemptOutcome outcome);

  /// The caller of a waiting or admitted request hung up.
  void Cancel(RequestId request);

  void Drain();
  void Restart(std::uint32_t announced_slots);
  void SetAnnouncedSlots(std::uint32_t announced_slots);
  void SetRanks(const std::vector<RankShare>& ranks);

  AdmissionLoad load() const { return m_queue.load(); }

 private:
  struct Waiter;

  void Wake(const AdmissionChanges& changes);
  void Wake(RequestId request, std::optional<RefusalReason> refusal);
  void ScheduleExpiry();
  asio::awaitable<void> RunExpiry(std::shared_ptr<bool> alive);

  asio::any_io_executor m_executor;
  AdmissionQueue m_queue;
  std::map<RequestId, std::shared_ptr<Waiter>> m_waiters;
  asio::steady_timer m_expiry;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace banyantrail
