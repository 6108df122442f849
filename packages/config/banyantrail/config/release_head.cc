#include "banyantrail/config/release_head.h"

#include <utility>

#include "banyantrail/config/json_object_reader.h"

namespace banyantrail {
namespace {

using nlohmann::json;

/// The JSON of a head with more chunks would exceed the size limit of a value
/// in the platform's store.
constexpr std::size_t kMaxChunks = 10'000;

constexpr const char* kStoredValueRemedy =
    "find out what else writes under release/ in the platform's store, and "
    "restore the value";

bool IsDigestOrEmpty(std::string_view text) {
  return text.empty() || kDigestRule.accepts(text);
}

constexpr TextRule kParentRule{IsDigestOrEmpty,
                               "a SHA-256 in hexadecimal, or an empty string"};

bool IsAnyText(std::string_view) {
  return true;
}

constexpr TextRule kAnyTextRule{IsAnyText, "a string"};

RecentChange ReadRecentChange(JsonObjectReader reader) {
  RecentChange recent;
  recent.change = ChangeId(reader.RequiredString("change", kNameRule));
  recent.revision = reader.RequiredInteger("revision", {.min = 1});
  reader.Finish();
  return recent;
}

std::vector<RecentChange> ReadRecentChanges(JsonObjectReader& reader,
                                            std::vector<Fault>& faults) {
  std::vector<RecentChange> changes;
  for (const json& element :
       reader.OptionalArray("recent_changes", kMaxRecentChanges)) {
    changes.push_back(ReadRecentChange(
        JsonObjectReader(element, reader.PlaceOf("recent_changes"), faults)));
  }
  return changes;
}

std::vector<RecentChange> AppendRecentChange(std::vector<RecentChange> changes,
                                             RecentChange newest) {
  if (changes.size() >= kMaxRecentChanges) {
    changes.erase(changes.begin());
  }
  changes.push_back(std::move(newest));
  return changes;
}

}  // namespace

std::string RevisionKey(ReleaseNumber revision) {
  return std::string(kRevisionKeyPrefix) + std::to_string(revision);
}

std::string ChunkKey(const std::string& digest) {
  return std::string(kChunkKeyPrefix) + digest;
}

json ToJson(const ReleaseHead& head) {
  json recent = json::array();
  for (const RecentChange& change : head.recent_changes) {
    recent.push_back(
        {{"change", change.change.str()}, {"revision", change.revision}});
  }
  return {{"revision", head.revision},   {"digest", head.digest},
          {"parent", head.parent},       {"chunks", head.chunks},
          {"change", head.change.str()}, {"author", head.author},
          {"time", head.time},           {"summary", head.summary},
          {"recent_changes", recent}};
}

ReleaseHead ParseReleaseHead(const json& value) {
  std::vector<Fault> faults;
  JsonObjectReader reader(value, "release head", faults);
  ReleaseHead head;
  head.revision = reader.RequiredInteger("revision", {.min = 1});
  head.digest = reader.RequiredString("digest", kDigestRule);
  head.parent = reader.RequiredString("parent", kParentRule);
  head.chunks = reader.OptionalStrings("chunks", kDigestRule, kMaxChunks);
  head.change = ChangeId(reader.RequiredString("change", kNameRule));
  head.author = reader.OptionalString("author", kLineRule, "");
  head.time = reader.OptionalString("time", kLineRule, "");
  head.summary = reader.OptionalString("summary", kLineRule, "");
  head.recent_changes = ReadRecentChanges(reader, faults);
  reader.Finish();
  ThrowIfInvalid(faults, kStoredValueRemedy);
  return head;
}

json ToJson(const ReleaseChunk& chunk) {
  return {{"objects", chunk.objects}};
}

ReleaseChunk ParseReleaseChunk(const json& value, const std::string& digest) {
  std::vector<Fault> faults;
  JsonObjectReader reader(value, "release chunk " + digest, faults);
  ReleaseChunk chunk{.digest = digest};
  chunk.objects = reader.OptionalStringMap("objects", kObjectKeyRule,
                                           kAnyTextRule, SIZE_MAX);
  reader.Finish();
  ThrowIfInvalid(faults, kStoredValueRemedy);
  VerifyChunk(chunk);
  return chunk;
}

std::optional<ReleaseNumber> FindChange(const ReleaseHead& head,
                                        const ChangeId& change) {
  for (const RecentChange& recent : head.recent_changes) {
    if (recent.change == change) {
      return recent.revision;
    }
  }
  return std::nullopt;
}

ReleaseHead NextHead(const ReleaseHead& head,
                     const ChangeProposal& proposal,
                     const ObjectTexts& objects,
                     const std::vector<ReleaseChunk>& chunks,
                     std::string time) {
  ReleaseHead next{.revision = head.revision + 1,
                   .digest = DigestOf(objects),
                   .parent = head.digest,
                   .change = proposal.change,
                   .author = proposal.author,
                   .time = std::move(time),
                   .summary = proposal.summary};
  next.chunks.reserve(chunks.size());
  for (const ReleaseChunk& chunk : chunks) {
    next.chunks.push_back(chunk.digest);
  }
  next.recent_changes = AppendRecentChange(
      head.recent_changes,
      {.change = proposal.change, .revision = next.revision});
  return next;
}

}  // namespace banyantrail
