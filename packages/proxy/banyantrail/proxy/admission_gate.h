#pragma once

#include <map>
#include <memory>
#include <optional>

#include "banyantrail/net/asio.h"
#include "banyantrail/traffic/admission.h"

namespace banyantrail {

/// Lets coroutines wait for the decisions of an AdmissionQueue. Each backend
/// server of this node has a gate, and so has the transfer of large bodies over
/// a slow link.
class AdmissionGate {
 public:
  AdmissionGate(asio::any_io_executor executor, AdmissionOptions options);
  AdmissionGate(const AdmissionGate&) = delete;
  AdmissionGate& operator=(const AdmissionGate&) = delete;
  ~AdmissionGate();

  /// Offers a new request. If the result is Queued, call Wait next.
  OfferResult Offer(const AdmissionRequest& request);

  /// Waits until a queued request is decided. Returns the reason if it is
  /// refused.
  asio::awaitable<std::optional<RefusalReason>> Wait(RequestId request);

  /// Frees the slot of an admitted request that has ended.
  void Release(RequestId request, AttemptOutcome outcome);

  /// Removes a queued or admitted request whose caller disconnected.
  void Cancel(RequestId request);

  void Drain();
  void Restart(std::uint32_t announced_slots);
  void SetAnnouncedSlots(std::uint32_t announced_slots);
  void SetRanks(const std::vector<RankShare>& ranks);

  AdmissionLoad load() const { return m_queue.load(); }
  std::optional<Duration> ServiceTime(std::uint64_t kind) const {
    return m_queue.ServiceTime(kind, SystemClock().Now());
  }

 private:
  struct Waiter;

  void Wake(const AdmissionChanges& changes);
  void Wake(RequestId request, std::optional<RefusalReason> refusal);
  void ScheduleExpiry();
  asio::awaitable<void> RunExpiry(std::shared_ptr<bool> alive);

  asio::any_io_executor m_executor;
  AdmissionQueue m_queue;
  std::map<RequestId, std::shared_ptr<Waiter>> m_waiters;
  asio::steady_timer m_expiry_timer;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace banyantrail
