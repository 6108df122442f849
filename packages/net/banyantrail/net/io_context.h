#pragma once

#include "banyantrail/net/asio.h"

namespace banyantrail {

/// An io_context whose pending handlers can be destroyed before it is itself.
/// Suspended coroutines refer to objects that use the context and are therefore
/// destroyed before it.
class IoContext : public asio::io_context {
 public:
  using asio::io_context::io_context;

  /// Destroys all pending handlers, and with them the suspended coroutines.
  /// Nothing runs afterwards. Call while the objects that they use still exist.
  void DestroyPending() { shutdown(); }
};

}  // namespace banyantrail
