#include "banyantrail/proxy/attempt_outcome.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>

using banyantrail::Attempt;
using banyantrail::EndpointOutcome;
using banyantrail::milliseconds;
using banyantrail::ResultOf;
using banyantrail::UpstreamResult;

TEST_GROUP(AttemptOutcome){
    static EndpointOutcome OutcomeOfStatus(unsigned status){
        const std::string head = "HTTP/1.1 " + std::to_string(status) +
                                 " Status\r\n\r\n";
Attempt attempt{.result = UpstreamResult::kResponded,
                .response = std::make_unique<Attempt::ResponseParser>()};
boost::system::error_code error;
attempt.response->put(boost::asio::buffer(head), error);
CHECK_FALSE(error);
return ResultOf(attempt, milliseconds(1)).outcome;
}
}
;

TEST(AttemptOutcome, UnregisteredServerErrorIsAFailure) {
  for (const unsigned status : {500, 520, 599}) {
    CHECK(OutcomeOfStatus(status) == EndpointOutcome::kFailed);
  }
  for (const unsigned status : {200, 299, 404, 499}) {
    CHECK(OutcomeOfStatus(status) == EndpointOutcome::kSuccess);
  }
}
