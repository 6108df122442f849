#include "banyantrail/config/change.h"

#include <utility>

#include "banyantrail/config/json_object_reader.h"
#include "banyantrail/config/object_json.h"
#include "banyantrail/config/release_digest.h"

namespace banyantrail {
namespace {

using nlohmann::json;

using ExpectedDigests = std::map<std::string, std::optional<std::string>>;

constexpr std::string_view kProposalPlace = "change";

void ReadUpsert(const std::string& key,
                const json& value,
                JsonObjectReader& reader,
                ObjectTexts& upserts,
                std::vector<Fault>& faults) {
  ObjectParseResult parsed = ParseObject(value, reader.PlaceOf("upserts"));
  if (!parsed.object) {
    faults.insert(faults.end(), parsed.faults.begin(), parsed.faults.end());
    return;
  }
  const std::string own_key = ToString(KeyOf(*parsed.object));
  if (own_key != key) {
    reader.AddFault("upserts." + key, "contains the object " + own_key,
                    "write the object under its own kind and name");
    return;
  }
  upserts[key] = CanonicalJson(*parsed.object);
}

ObjectTexts ReadUpserts(JsonObjectReader& reader, std::vector<Fault>& faults) {
  ObjectTexts upserts;
  const json objects = reader.OptionalObject("upserts", kMaxChangedObjects);
  for (const auto& [key, value] : objects.items()) {
    ReadUpsert(key, value, reader, upserts, faults);
  }
  return upserts;
}

std::set<std::string> ReadDeletes(JsonObjectReader& reader) {
  const auto keys =
      reader.OptionalStringSet("deletes", kObjectKeyRule, kMaxChangedObjects);
  return {keys.begin(), keys.end()};
}

ExpectedDigests ReadExpected(JsonObjectReader& reader) {
  ExpectedDigests expected;
  const json entries = reader.OptionalObject("expected", kMaxChangedObjects);
  for (const auto& [key, value] : entries.items()) {
    if (value.is_null()) {
      expected[key] = std::nullopt;
    } else if (value.is_string() &&
               kDigestRule.accepts(value.get_ref<const std::string&>())) {
      expected[key] = value.get<std::string>();
    } else {
      reader.AddFault("expected." + key, "is not a digest",
                      "write " + std::string(kDigestRule.allowed) +
                          ", or null for an object that did not exist");
    }
  }
  return expected;
}

std::set<std::string> ModifiedKeys(const ChangeProposal& proposal) {
  std::set<std::string> keys = proposal.deletes;
  for (const auto& [key, text] : proposal.upserts) {
    keys.insert(key);
  }
  return keys;
}

void CheckModifiedKeys(const ChangeProposal& proposal,
                       JsonObjectReader& reader) {
  for (const std::string& key : proposal.deletes) {
    if (proposal.upserts.contains(key)) {
      reader.AddFault("deletes",
                      "contains " + key + ", which is also in upserts",
                      "remove it from deletes or from upserts");
    }
  }
  const std::set<std::string> modified_keys = ModifiedKeys(proposal);
  for (const std::string& key : modified_keys) {
    if (!proposal.expected.contains(key)) {
      reader.AddFault(
          "expected", "has no entry for " + key,
          "add its digest at the base revision, or null if it did not exist");
    }
  }
  for (const auto& [key, digest] : proposal.expected) {
    if (!modified_keys.contains(key)) {
      reader.AddFault("expected",
                      "contains " + key + ", which the change does not modify",
                      "remove it");
    }
  }
}

std::optional<std::string> TextOf(const ObjectTexts& objects,
                                  const std::string& key) {
  const auto found = objects.find(key);
  return found == objects.end() ? std::nullopt : std::optional(found->second);
}

std::optional<std::string> DigestOfText(
    const std::optional<std::string>& text) {
  return text ? std::optional(ObjectDigest(*text)) : std::nullopt;
}

std::string DescribeConflict(const std::optional<std::string>& current,
                             const ExpectedDigests& expected,
                             const std::string& key) {
  const auto base = expected.find(key);
  if (base == expected.end()) {
    return "the proposal has no expected digest for it";
  }
  if (!current) {
    return "was deleted since the base of this change";
  }
  return base->second ? "was changed since the base of this change"
                      : "was created since the base of this change";
}

void SetText(ObjectTexts& objects,
             const std::string& key,
             const std::optional<std::string>& text) {
  if (text) {
    objects[key] = *text;
  } else {
    objects.erase(key);
  }
}

void MergeObject(const std::string& key,
                 const ChangeProposal& proposal,
                 MergeResult& result) {
  const std::optional<std::string> current = TextOf(result.objects, key);
  const std::optional<std::string> proposed = TextOf(proposal.upserts, key);
  if (current == proposed) {
    return;
  }
  const auto base = proposal.expected.find(key);
  if (base == proposal.expected.end() ||
      base->second != DigestOfText(current)) {
    result.conflicts.push_back(
        {.object = key,
         .detail = DescribeConflict(current, proposal.expected, key)});
    return;
  }
  SetText(result.objects, key, proposed);
  result.modified = true;
}

}  // namespace

ChangeParseResult ParseChangeProposal(const json& value) {
  ChangeParseResult result;
  JsonObjectReader reader(value, std::string(kProposalPlace), result.faults);
  ChangeProposal proposal;
  proposal.change = ChangeId(reader.RequiredString("change", kNameRule));
  proposal.author = reader.OptionalString("author", kLineRule, "");
  proposal.summary = reader.OptionalString("summary", kLineRule, "");
  proposal.base_revision = reader.OptionalInteger("base_revision", {}, 0);
  proposal.upserts = ReadUpserts(reader, result.faults);
  proposal.deletes = ReadDeletes(reader);
  proposal.expected = ReadExpected(reader);
  reader.Finish();
  if (result.faults.empty()) {
    CheckModifiedKeys(proposal, reader);
  }
  if (result.faults.empty()) {
    result.proposal = std::move(proposal);
  }
  return result;
}

json ToJson(const ChangeProposal& proposal) {
  json upserts = json::object();
  for (const auto& [key, text] : proposal.upserts) {
    upserts[key] = json::parse(text);
  }
  json expected = json::object();
  for (const auto& [key, digest] : proposal.expected) {
    expected[key] = digest ? json(*digest) : json(nullptr);
  }
  return {{"change", proposal.change.str()},
          {"author", proposal.author},
          {"summary", proposal.summary},
          {"base_revision", proposal.base_revision},
          {"upserts", upserts},
          {"deletes", proposal.deletes},
          {"expected", expected}};
}

MergeResult MergeChange(const Release& head, const ChangeProposal& proposal) {
  MergeResult result{.objects = head.objects};
  for (const std::string& key : ModifiedKeys(proposal)) {
    MergeObject(key, proposal, result);
  }
  if (!result.conflicts.empty()) {
    result.objects.clear();
    result.modified = false;
  }
  return result;
}

}  // namespace banyantrail
