#include "standins/call_client.h"

#include <CppUTest/TestHarness.h>

#include <string>

#include "net/http_exchange.h"

namespace asio = boost::asio;
using banyantrail::IpEndpoint;
using banyantrail::standins::Call;
using banyantrail::standins::CallClient;
using banyantrail::standins::CallResult;
using banyantrail::standins::CallStatus;
using banyantrail::test::FreeEndpoint;
using banyantrail::test::kLongUploadBytes;
using banyantrail::test::RespondEarly;
using banyantrail::test::ResponseEnd;

TEST_GROUP(CallClient){
    /// Uploads to a server that responds early, and returns what the caller
    /// saw.
    static CallResult Upload(ResponseEnd end){
        constexpr banyantrail::Duration kTimeout = banyantrail::seconds(2);
asio::io_context io;
const IpEndpoint endpoint = FreeEndpoint(io);
asio::co_spawn(io,
               RespondEarly(io, endpoint, "perhaps all of it", end),
               asio::detached);
CallClient client(io.get_executor());
Call call{.method = "POST",
          .target = "/",
          .body = std::string(kLongUploadBytes, 'u')};
CallResult result;
asio::co_spawn(io,
               client.Exchange(endpoint, std::move(call), kTimeout),
               [&](std::exception_ptr, CallResult exchanged) {
                 result = std::move(exchanged);
                 io.stop();
               });
io.run_for(2 * kTimeout);
return result;
}
}
;

TEST(CallClient, EarlyResponseThatIsResetIsNotComplete) {
  CHECK(Upload(ResponseEnd::kReset).status == CallStatus::kConnectionLost);
}

TEST(CallClient, EarlyResponseThatEndsWithItsConnectionIsComplete) {
  const CallResult result = Upload(ResponseEnd::kClose);
  CHECK(result.status == CallStatus::kCompleted);
  STRCMP_EQUAL("perhaps all of it", result.response.body().c_str());
}
