#include <utility>

#include "banyantrail/proxy/entry_request_context.h"
#include "banyantrail/proxy/metadata_fields.h"
#include "banyantrail/wire/mesh_headers.h"

namespace banyantrail {

/// Claims the idempotency key of a request that carries one. Returns false if
/// the request must not run now; a refusal has then been sent.
asio::awaitable<bool> EntryStage::ClaimIdempotencyKey(Downstream& downstream,
                                                      RequestContext& context) {
  const std::string key(
      FieldValue(context.request.head(), kIdempotencyKeyHeader));
  context.needs_claim = !key.empty() && !context.route->idempotent &&
                        m_options.idempotency.claim != nullptr;
  if (!context.needs_claim) {
    co_return true;
  }
  const std::string attempt =
      m_options.attempt_prefix + std::to_string(++m_last_attempt);
  const std::string object_key =
      IdempotencyObjectKey(context.service->name, key);
  ClaimResult result =
      co_await m_options.idempotency.claim(object_key, attempt);
  if (!result.claim) {
    context.recorded_status = result.recorded_status;
    co_await Refuse(downstream, context, result.reason);
    co_return false;
  }
  context.claim = std::move(result.claim);
  co_return true;
}

/// Records the status of a claimed request in the ledger, without delaying the
/// response.
void EntryStage::RecordResult(RequestContext& context, std::uint32_t status) {
  if (!context.claim) {
    return;
  }
  auto record =
      [](std::function<asio::awaitable<bool>(HeldClaim, std::uint32_t)> hook,
         HeldClaim claim,
         std::uint32_t response_status) -> asio::awaitable<void> {
    co_await hook(std::move(claim), response_status);
  };
  asio::co_spawn(m_executor,
                 record(m_options.idempotency.record_result,
                        std::move(*context.claim), status),
                 asio::detached);
  context.claim.reset();
}

}  // namespace banyantrail
