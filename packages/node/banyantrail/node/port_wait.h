#pragma once

#include <vector>

#include "banyantrail/core/ip_endpoint.h"

namespace banyantrail {

/// Waits until the process can listen on all endpoints. A predecessor may still
/// be stopping, or an outgoing connection may use one of the ports. Logs which
/// one it waits for. Returns false if the process is asked to end meanwhile.
/// Throws Error{kInvalidSettings} when an endpoint is no address of this VM.
bool AwaitFreePorts(const std::vector<IpEndpoint>& endpoints);

}  // namespace banyantrail
