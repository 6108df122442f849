#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "banyantrail/proxy/admission_gate.h"
#include "banyantrail/proxy/inbound_request.h"
#include "banyantrail/proxy/link_gate.h"
#include "banyantrail/proxy/message_head.h"
#include "banyantrail/proxy/response_relay.h"
#include "banyantrail/proxy/upstream_pool.h"
#include "banyantrail/traffic/failure_share.h"
#include "banyantrail/traffic/quarantine.h"
#include "banyantrail/traffic/running_requests.h"
#include "banyantrail/wire/edge_dialect.h"
#include "banyantrail/wire/member_record.h"
#include "banyantrail/wire/request_metadata.h"

namespace banyantrail {

/// A refusal by the owner node, with the data behind it, for the log.
struct OwnerRefusal {
  /// Request id that the caller sent, if its dialect has one.
  std::string_view request;
  std::string_view service;
  /// Backend server that the request names.
  std::string_view server;
  RefusalReason reason = RefusalReason::kQueueFull;
  AdmissionLoad load;
  /// Time until the deadline that the sender gave.
  Duration remaining{};
};

/// Callbacks of the owner stage into the rest of the node.
struct OwnerStageHooks {
  std::function<void(RefusalReason)> count_refusal;
  std::function<void(const OwnerRefusal&)> on_refusal =
      [](const OwnerRefusal&) {};
  /// Connections to the backend server fail. It counts as down until it
  /// announces itself again.
  std::function<void(const BackendServerId&)> on_unreachable;
  /// A backend server crashed with these requests in flight. The report has to
  /// reach the owner nodes of the service's other backend servers.
  std::function<void(const ServiceName&, std::vector<RequestFingerprint>)>
      on_crash;
};

/// The last stage of the request path: the owner node of a backend server
/// admits the request, forwards it and returns the response. Serves the mesh
/// listener.
class OwnerStage {
 public:
  struct Options {
    InboundLimits limits;
    OwnerStageHooks hooks;
    QuarantineOptions quarantine;
    EdgeDialect dialect;
    /// Template; slots and ranks are set for each backend server.
    AdmissionOptions admission;
    /// How long after a backend server has announced its departure a request
    /// that was admitted before may still be sent to it.
    Duration max_send_after_departure = seconds(1);
    /// Whether entry nodes are told that a backend server fails many requests.
    bool report_failures = false;
    /// Bandwidth of the VM's network link; 0 when unknown.
    std::uint64_t link_bytes_per_s = 0;
  };

  /// Registers in `running` the requests sent to backend servers of this node.
  OwnerStage(asio::any_io_executor executor,
             UpstreamPool& pool,
             RunningRequests& running,
             Options options);

  /// Serves one connection of another node until it closes.
  asio::awaitable<void> Serve(beast::tcp_stream stream);

  /// Replaces the set of backend servers that this node owns.
  void SetBackendServers(const std::vector<BackendServerRecord>& records);
  /// The node drains: its backend servers get no new requests, but they are not
  /// leaving.
  void StartDrain() { m_draining = true; }
  /// Applies the ranks of a new configuration.
  void SetRanks(std::vector<RankShare> ranks);
  /// Applies to heads that are read from now on.
  void SetMaxHeadBytes(std::uint32_t bytes) {
    m_options.limits.max_header_bytes = bytes;
  }
  /// Whether the configuration declares teams, which then share the backend
  /// servers' slots.
  void SetHasTeams(bool has_teams) { m_has_teams = has_teams; }

  /// Handles a crash reported by another node.
  void OnCrashReport(const CrashReportMessage& report);

  /// Requests admitted or queued, over all backend servers.
  std::size_t requests_in_progress() const { return m_in_progress; }

 private:
  struct Backend {
    BackendServerRecord record;
    std::unique_ptr<AdmissionGate> gate;
    /// When the backend server began to drain or was deregistered.
    std::optional<TimePoint> departed_at;
    unsigned failed_connects = 0;
    FailureShare failures;
    /// Requests in flight.
    std::map<RequestId, std::shared_ptr<const RequestFingerprints>> in_flight;
    /// A request suspected of crashing backend servers is running. Other
    /// suspects wait for its end.
    bool suspect_running = false;
    /// A lost connection is being examined.
    bool crash_suspected = false;
  };
  using BackendPtr = std::shared_ptr<Backend>;

  /// State of one request in this stage.
  struct RequestContext {
    InboundRequest& request;
    RequestMetadata metadata;
    BackendPtr backend;
    RequestId id = 0;
    /// Set when the request is isolated.
    std::shared_ptr<RequestFingerprints> fingerprints;
    bool is_suspect = false;
    TimePoint deadline;
    TimePoint admitted_at{};
    /// When the link was granted to the body; empty while it does not hold it.
    std::optional<TimePoint> transfer_started;
  };

  asio::awaitable<void> Handle(Downstream& downstream, InboundRequest& request);
  asio::awaitable<void> Refuse(Downstream& downstream,
                               const RequestContext& context,
                               RefusalReason reason);
  void ReportRefusal(const RequestContext& context, RefusalReason reason) const;
  AdmissionRequest AdmissionRequestFor(const RequestContext& context) const;
  TeamHash TeamOf(const InboundRequest& request) const;
  std::string_view RequestIdOf(const InboundRequest& request) const;
  AdmissionOptions AdmissionOptionsFor(const BackendServerRecord& record) const;
  asio::awaitable<std::optional<RefusalReason>> AwaitTransferSlot(
      Downstream& downstream,
      RequestContext& context);
  void ReleaseTransferSlot(RequestContext& context);
  asio::awaitable<std::optional<RefusalReason>> AwaitAdmission(
      Downstream& downstream,
      AdmissionGate& gate,
      AdmissionRequest request);
  asio::awaitable<std::optional<RefusalReason>> Admit(Downstream& downstream,
                                                      RequestContext& context);
  asio::awaitable<std::optional<RefusalReason>> BeginIsolation(
      Downstream& downstream,
      RequestContext& context);
  asio::awaitable<std::optional<RefusalReason>> ReadComparedBody(
      Downstream& downstream,
      RequestContext& context);
  asio::awaitable<std::optional<RefusalReason>> AwaitTurnOfSuspect(
      RequestContext& context);
  void EndIsolation(RequestContext& context);
  void SetFailureField(const Backend& backend, http::fields& head) const;
  void SetBackendServerFields(const RequestContext& context,
                              http::fields& head) const;
  asio::awaitable<void> Forward(Downstream& downstream,
                                RequestContext& context);
  asio::awaitable<void> DetectCrash(RequestContext& context);
  asio::awaitable<void> WatchForCrash(BackendPtr backend,
                                      std::vector<RequestFingerprint> in_flight,
                                      UpstreamPtr probe);
  void OnCrash(Backend& backend,
               const std::vector<RequestFingerprint>& in_flight);
  asio::awaitable<void> ReturnResponse(Downstream& downstream,
                                       RequestContext& context,
                                       Attempt& attempt);
  bool MaySend(const Backend& backend) const;
  void ApplyState(Backend& backend, const BackendServerRecord& record);
  static void Retire(Backend& backend);
  void ReleaseSlot(RequestContext& context, AttemptResult result);
  void RecordConnect(const BackendPtr& backend, bool connected);
  BackendPtr FindBackend(const RequestMetadata& metadata) const;
  std::optional<RefusalReason> CheckBackendState(
      const BackendPtr& backend) const;

  asio::any_io_executor m_executor;
  UpstreamPool& m_pool;
  RunningRequests& m_running;
  Options m_options;
  std::map<BackendServerId, BackendPtr> m_backends;
  std::vector<RankShare> m_ranks;
  bool m_has_teams = false;
  /// Limits concurrent transfers of large bodies over the VM's link. Null when
  /// the link is fast enough or its bandwidth is unknown.
  std::unique_ptr<AdmissionGate> m_transfer_gate;
  /// Turns of large responses on the VM's link; null as above.
  std::unique_ptr<LinkGate> m_link_gate;
  Quarantine m_quarantine;
  RequestId m_last_request = 0;
  std::size_t m_in_progress = 0;
  bool m_draining = false;
};

}  // namespace banyantrail
