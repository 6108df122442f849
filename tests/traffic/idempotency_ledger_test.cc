#include "banyantrail/traffic/idempotency_ledger.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <future>
#include <map>
#include <string>

#include <CppUTest/TestHarness.h>

using banyantrail::ClaimResult;
using banyantrail::Error;
using banyantrail::ErrorKind;
using banyantrail::IdempotencyLedger;
using banyantrail::IdempotencyObjectKey;
using banyantrail::PutResult;
using banyantrail::PutStatus;
using banyantrail::RefusalReason;
using banyantrail::ServiceName;
using banyantrail::StoredObject;

namespace {

/// In-memory store that can lose the results of writes or be unavailable.
class FakeStore {
 public:
  bool outage = false;
  int lost_responses = 0;

  boost::asio::awaitable<std::optional<StoredObject>> Get(std::string key) {
    CheckOutage();
    const auto found = m_objects.find(key);
    if (found == m_objects.end()) {
      co_return std::nullopt;
    }
    co_return found->second;
  }

  boost::asio::awaitable<PutResult> Put(std::string key,
                                        nlohmann::json value,
                                        std::optional<std::uint64_t> expected) {
    CheckOutage();
    const std::uint64_t present = m_objects[key].version;
    if (expected.has_value() && present != *expected) {
      co_return PutResult{.status = PutStatus::kVersionMismatch,
                          .version = present};
    }
    m_objects[key] = {.key = key, .version = ++m_version, .value = value};
    if (lost_responses > 0) {
      --lost_responses;
      throw Error({.kind = ErrorKind::kOutcomeUnknown, .message = "lost"});
    }
    co_return PutResult{.version = m_version};
  }

 private:
  void CheckOutage() const {
    if (outage) {
      throw Error({.kind = ErrorKind::kPlatformUnavailable, .message = "out"});
    }
  }

  std::map<std::string, StoredObject> m_objects;
  std::uint64_t m_version = 0;
};

template <typename T>
T Run(boost::asio::awaitable<T> task) {
  boost::asio::io_context context;
  std::future<T> result =
      boost::asio::co_spawn(context, std::move(task), boost::asio::use_future);
  context.run();
  return result.get();
}

}  // namespace

TEST_GROUP(IdempotencyLedger) {
  FakeStore store;
  IdempotencyLedger<FakeStore> ledger{store};
  const std::string key = IdempotencyObjectKey(ServiceName("cobro"), "k1");

  ClaimResult Claim(const std::string& attempt) {
    return Run(ledger.Claim(key, attempt));
  }
};

TEST(IdempotencyLedger, AResentRequestGetsTheRecordedStatus) {
  const ClaimResult first = Claim("a");
  CHECK(first.claim.has_value());
  CHECK(Claim("b").reason == RefusalReason::kAttemptInFlight);
  CHECK(Run(ledger.RecordResult(*first.claim, 201)));
  const ClaimResult resend = Claim("c");
  CHECK(!resend.claim.has_value());
  CHECK(resend.reason == RefusalReason::kAlreadyRan);
  LONGS_EQUAL(201, resend.recorded_status);
}

TEST(IdempotencyLedger, AReleasedKeyCanBeClaimedAgain) {
  const ClaimResult first = Claim("a");
  CHECK(Run(ledger.Release(*first.claim)));
  CHECK(Claim("b").claim.has_value());
}

TEST(IdempotencyLedger, LostResponsesDoNotLoseTheClaimOrItsResult) {
  store.lost_responses = 1;
  const ClaimResult first = Claim("a");
  CHECK(first.claim.has_value());
  store.lost_responses = 1;
  CHECK(Run(ledger.RecordResult(*first.claim, 200)));
  CHECK(Claim("b").reason == RefusalReason::kAlreadyRan);
}

TEST(IdempotencyLedger, DuringAnOutageNoClaimIsGranted) {
  store.outage = true;
  const ClaimResult result = Claim("a");
  CHECK(!result.claim.has_value());
  CHECK(result.reason == RefusalReason::kLedgerUnavailable);
}

TEST(IdempotencyLedger, AnUnreadableRecordCountsAsClaimed) {
  Run(store.Put(key, "no record", 0));
  CHECK(Claim("a").reason == RefusalReason::kAttemptInFlight);
}
