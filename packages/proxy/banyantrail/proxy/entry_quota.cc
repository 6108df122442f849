#include "banyantrail/proxy/entry_request_context.h"

namespace banyantrail {

/// Takes a token of the team's rate limit. Nested calls belong to a request
/// that has one; requests without a team need none.
asio::awaitable<bool> EntryStage::AcquireQuotaToken(RequestContext& context) {
  if (context.team == nullptr || context.team->requests_per_s == 0 ||
      context.is_nested_call || m_options.quota.acquire == nullptr) {
    co_return true;
  }
  const std::optional<Duration> retry_after =
      co_await m_options.quota.acquire(context.team->name, context.deadline);
  context.has_quota_token = !retry_after;
  context.quota_retry_after = retry_after.value_or(Duration::zero());
  co_return context.has_quota_token;
}

/// Gives the token of a request back that is refused without having run.
void EntryStage::GiveBackQuotaToken(RequestContext& context,
                                    RefusalReason reason) {
  const bool is_not_run = context.tried.empty() || ProvesNotRun(reason);
  if (context.has_quota_token && is_not_run) {
    context.has_quota_token = false;
    m_options.quota.give_back(context.team->name);
  }
}

}  // namespace banyantrail
