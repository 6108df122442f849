#pragma once

#include <nlohmann/json.hpp>

#include "banyantrail/config/release.h"

namespace banyantrail {

/// A whole release as the admin API gives it:
/// {"revision","digest","change","objects":{"kind/name":{...}}}.
nlohmann::json ToJson(const Release& release);

/// The inverse of ToJson. Throws Error{kMalformedMessage} for a wrong shape,
/// Error{kDigestMismatch} if the objects are not those of the digest. The
/// release before the first change (revision 0) has an empty digest.
Release ParseRelease(const nlohmann::json& json);

}  // namespace banyantrail
