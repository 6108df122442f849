#include "banyantrail/net/response_head.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace banyantrail {
namespace {

constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;

/// Whether the head names another transfer coding than chunks, or more than
/// one. A client that asks for none gets no other, and this one decodes none.
bool HasOtherTransferCoding(const http::fields& fields) {
  constexpr unsigned kMaxCodings = 1;
  unsigned codings = 0;
  for (const auto& field : fields) {
    if (field.name() != http::field::transfer_encoding) {
      continue;
    }
    const http::opt_token_list list(field.value());
    if (!http::validate_list(list)) {
      return true;
    }
    for (const auto& coding : list) {
      const bool is_known = boost::beast::iequals(coding, "chunked") ||
                            boost::beast::iequals(coding, "identity");
      if (!is_known) {
        return true;
      }
      ++codings;
    }
  }
  return codings > kMaxCodings;
}

}  // namespace

boost::system::error_code CheckResponseHead(
    const http::response_header<>& head) {
  const unsigned status = head.result_int();
  if (status < kMinStatus || status > kMaxStatus) {
    return http::make_error_code(http::error::bad_status);
  }
  if (HasOtherTransferCoding(head)) {
    return http::make_error_code(http::error::bad_transfer_encoding);
  }
  return {};
}

}  // namespace banyantrail
