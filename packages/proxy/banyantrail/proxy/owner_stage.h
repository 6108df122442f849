#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string_view>
#include <vector>

#include "banyantrail/proxy/admission_gate.h"
#include "banyantrail/proxy/answer_head.h"
#include "banyantrail/proxy/answer_relay.h"
#include "banyantrail/proxy/inbound_request.h"
#include "banyantrail/proxy/upstream_pool.h"
#include "banyantrail/traffic/quarantine.h"
#include "banyantrail/traffic/running_requests.h"
#include "banyantrail/wire/edge_dialect.h"
#include "banyantrail/wire/member_record.h"

namespace banyantrail {

/// A request that the owner node turned away, with what that rests on, for the
/// log.
struct TurnedAway {
  std::string_view request;
  std::string_view service;
  /// Empty when the request names no backend server of this node.
  std::string_view server;
  RefusalReason reason = RefusalReason::kQueueFull;
  AdmissionLoad load;
  /// Until the deadline.
  Duration left{};
};

/// What the owner stage tells the rest of the node.
struct OwnerStageHooks {
  std::function<void(RefusalReason)> count_refusal;
  std::function<void(const TurnedAway&)> on_turned_away =
      [](const TurnedAway&) {};
  /// Connections to the backend server fail: it is down until it announces
  /// itself again.
  std::function<void(const BackendServerId&)> on_unreachable;
  /// A backend server crashed with these requests in flight; the nodes that
  /// own others of the service have to know.
  std::function<void(const ServiceName&, std::vector<RequestFingerprint>)>
      on_crash;
};

/// The last stage of a request's way: the node beside a backend server admits
/// the request, forwards it and returns the answer. Serves the mesh listener.
class OwnerStage {
 public:
  struct Options {
    InboundLimits limits;
    OwnerStageHooks hooks;
    QuarantineOptions quarantine;
    EdgeDialect dialect;
    /// Slots and ranks are filled in for each backend server.
    AdmissionOptions admission;
    /// Width of the VM's link in bytes a second; 0 when unknown.
    std::uint64_t link_bytes_per_s = 0;
  };

  /// Notes in `running` what runs at the backend servers of this node.
  OwnerStage(asio::any_io_executor executor,
             UpstreamPool& pool,
             RunningRequests& running,
             Options options);

  /// Serves one connection of another node until it closes.
  asio::awaitable<void> Serve(beast::tcp_stream stream);

  /// The backend servers beside this node, after a change.
  void SetBackendServers(const std::vector<BackendServerRecord>& records);
  /// The ranks of a newly applied configuration.
  void SetRanks(std::vector<RankShare> ranks);

  /// Another node reported a crash.
  void OnCrashReport(const CrashReportMessage& report);

  /// Requests admitted or waiting, over all backend servers.
  std::size_t requests_in_progress() const { return m_in_progress; }

 private:
  struct Backend {
    BackendServerRecord record;
    std::unique_ptr<AdmissionGate> gate;
    unsigned failed_connects = 0;
    /// Fingerprints of what is in flight; one entry for each request.
    std::multiset<RequestFingerprint> in_flight;
    /// A request under suspicion runs; others have to wait for its end.
    bool suspect_runs = false;
  };
  using BackendPtr = std::shared_ptr<Backend>;

  /// A request on its way through this stage.
  struct Passage {
    InboundRequest& request;
    BackendPtr backend;
    RequestId id = 0;
    std::optional<RequestFingerprint> fingerprint;
    bool is_suspect = false;
    TimePoint deadline;
    TimePoint admitted_at{};
    /// When its body got its turn on the link; empty while it holds none.
    std::optional<TimePoint> transfer_began;
    bool keep_alive = true;
  };

  asio::awaitable<void> Handle(Downstream& downstream, InboundRequest& request);
  asio::awaitable<void> Refuse(Downstream& downstream,
                               const InboundRequest& request,
                               const BackendPtr& backend,
                               RefusalReason reason);
  void ReportTurnedAway(const InboundRequest& request,
                        const BackendPtr& backend,
                        RefusalReason reason) const;
  static AdmissionRequest WorkOf(const Passage& passage);
  std::string_view RequestIdOf(const InboundRequest& request) const;
  AdmissionOptions AdmissionOptionsFor(const BackendServerRecord& record) const;
  asio::awaitable<std::optional<RefusalReason>> AwaitTransfer(
      Downstream& downstream,
      Passage& passage);
  void EndTransfer(Passage& passage);
  asio::awaitable<std::optional<RefusalReason>>
  EnterGate(Downstream& downstream, AdmissionGate& gate, AdmissionRequest work);
  asio::awaitable<std::optional<RefusalReason>> Admit(Downstream& downstream,
                                                      Passage& passage);
  asio::awaitable<std::optional<RefusalReason>> Isolate(Passage& passage);
  void EndIsolation(Passage& passage);
  void SetServerFields(const Passage& passage, http::fields& head) const;
  asio::awaitable<void> Forward(Downstream& downstream, Passage& passage);
  asio::awaitable<void> LookForCrash(Passage& passage);
  asio::awaitable<void> Return(Downstream& downstream,
                               Passage& passage,
                               Attempt& attempt);
  void Leave(Passage& passage, AttemptResult end);
  void NoteConnect(const BackendPtr& backend, bool connected);
  BackendPtr Find(const http::request_header<>& head) const;
  std::optional<RefusalReason> RefusalFor(const BackendPtr& backend) const;

  asio::any_io_executor m_executor;
  UpstreamPool& m_pool;
  RunningRequests& m_running;
  Options m_options;
  std::map<BackendServerId, BackendPtr> m_backends;
  std::vector<RankShare> m_ranks;
  /// Where large bodies wait for the VM's link; null when it is wide enough.
  std::unique_ptr<AdmissionGate> m_transfers;
  Quarantine m_quarantine;
  RequestId m_last_request = 0;
  std::size_t m_in_progress = 0;
};

}  // namespace banyantrail
