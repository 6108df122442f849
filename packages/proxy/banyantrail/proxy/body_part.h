#pragma once

#include <boost/beast/http/buffer_body.hpp>
#include <cstddef>

namespace banyantrail {

/// Sets the next part of a body that is sent in parts. An empty last part is
/// left out: Beast would write it as a chunk of size 0, which ends a chunked
/// body, and then end the body once more.
inline void SetBodyPart(boost::beast::http::buffer_body::value_type& body,
                        char* data,
                        std::size_t size,
                        bool is_last) {
  body.data = size > 0 ? data : nullptr;
  body.size = size;
  body.more = !is_last;
}

}  // namespace banyantrail
