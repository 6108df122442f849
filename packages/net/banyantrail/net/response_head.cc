#include "banyantrail/net/response_head.h"

#include <boost/beast/http/error.hpp>

namespace banyantrail {
namespace {

constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;

}  // namespace

boost::system::error_code CheckResponseHead(
    const http::response_header<>& head) {
  const unsigned status = head.result_int();
  if (status < kMinStatus || status > kMaxStatus) {
    return http::make_error_code(http::error::bad_status);
  }
  return {};
}

}  // namespace banyantrail
