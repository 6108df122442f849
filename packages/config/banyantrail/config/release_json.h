#pragma once

#include <nlohmann/json.hpp>

#include "banyantrail/config/release.h"

namespace banyantrail {

/// A whole release as the admin API returns it:
/// {"revision","digest","change","objects":{"kind/name":{...}}}.
nlohmann::json ToJson(const Release& release);

/// The inverse of ToJson. Throws Error{kMalformedMessage} if the JSON has the
/// wrong structure, Error{kDigestMismatch} if the objects do not match the
/// digest. Revision 0, before the first change, has an empty digest.
Release ParseRelease(const nlohmann::json& json);

}  // namespace banyantrail
