#include "banyantrail/config/release_json.h"

#include <utility>
#include <vector>

#include "banyantrail/config/compile.h"
#include "banyantrail/config/json_object_reader.h"
#include "banyantrail/config/release_digest.h"
#include "banyantrail/core/errors.h"

namespace banyantrail {
namespace {

using nlohmann::json;

void CheckDigest(const Release& release) {
  const bool is_first = !release.revision.exists() && release.objects.empty();
  if (!is_first && DigestOf(release.objects) != release.digest) {
    throw Error(
        {.kind = ErrorKind::kDigestMismatch,
         .message = "the objects of revision " +
                    std::to_string(release.revision.number) +
                    " do not match its digest",
         .remedy = "read it again, from another node if the error repeats"});
  }
}

}  // namespace

json ToJson(const Release& release) {
  json objects = json::object();
  for (const auto& [key, text] : release.objects) {
    objects[key] = json::parse(text);
  }
  return {{"revision", release.revision.number},
          {"digest", release.digest},
          {"change", release.change.str()},
          {"objects", objects}};
}

Release ParseRelease(const json& value) {
  std::vector<Fault> faults;
  JsonObjectReader reader(value, "release", faults, ValueChecks::kAccepted);
  Release release;
  release.revision.number =
      reader.RequiredInteger("revision", {.max_accepted = UINT64_MAX});
  release.digest = reader.RequiredString("digest", kLineRule);
  release.change = ChangeId(reader.RequiredString("change", kLineRule));
  const json objects = reader.OptionalObject("objects", kMaxReleaseObjects);
  for (const auto& [key, object] : objects.items()) {
    release.objects[key] = object.dump();
  }
  reader.Finish();
  ThrowIfInvalid(faults,
                 "use a banyantrailctl of the same version as the nodes");
  CheckDigest(release);
  return release;
}

}  // namespace banyantrail
