#include "banyantrail/ctl/release_diff.h"

#include <nlohmann/json.hpp>
#include <set>

#include "banyantrail/config/release_digest.h"

namespace banyantrail::ctl {
namespace {

using nlohmann::json;

std::string FieldText(const json& object, const std::string& field) {
  return object.contains(field) ? object[field].dump() : "";
}

std::vector<FieldChange> DiffFields(const std::string& before_text,
                                    const std::string& after_text) {
  const json before = json::parse(before_text);
  const json after = json::parse(after_text);
  std::set<std::string> fields;
  for (const json* object : {&before, &after}) {
    for (const auto& [field, value] : object->items()) {
      fields.insert(field);
    }
  }
  std::vector<FieldChange> changes;
  for (const std::string& field : fields) {
    FieldChange change{.field = field,
                       .before = FieldText(before, field),
                       .after = FieldText(after, field)};
    if (change.before != change.after) {
      changes.push_back(change);
    }
  }
  return changes;
}

void DiffObject(const std::string& key,
                const std::string& text,
                const ObjectTexts& base,
                ReleaseDiff& diff) {
  const auto before = base.find(key);
  if (before == base.end()) {
    diff.changes.push_back({.key = key, .kind = ChangeKind::kCreated});
  } else if (before->second != text) {
    diff.changes.push_back({.key = key,
                            .kind = ChangeKind::kChanged,
                            .fields = DiffFields(before->second, text)});
  }
}

}  // namespace

ReleaseDiff DiffObjects(const ObjectTexts& base,
                        const ObjectTexts& desired,
                        DiffOptions options) {
  ReleaseDiff diff;
  for (const auto& [key, text] : desired) {
    DiffObject(key, text, base, diff);
  }
  for (const auto& [key, text] : base) {
    if (desired.contains(key)) {
      continue;
    }
    if (options.prune) {
      diff.changes.push_back({.key = key, .kind = ChangeKind::kDeleted});
    } else {
      diff.kept.push_back(key);
    }
  }
  return diff;
}

ChangeProposal ProposeDiff(const ReleaseDiff& diff,
                           const Release& base,
                           const ObjectTexts& desired) {
  ChangeProposal proposal{.base_revision = base.revision.number};
  for (const ObjectChange& change : diff.changes) {
    const auto before = base.objects.find(change.key);
    proposal.expected[change.key] =
        before == base.objects.end()
            ? std::nullopt
            : std::optional(ObjectDigest(before->second));
    if (change.kind == ChangeKind::kDeleted) {
      proposal.deletes.insert(change.key);
    } else {
      proposal.upserts[change.key] = desired.at(change.key);
    }
  }
  return proposal;
}

}  // namespace banyantrail::ctl
