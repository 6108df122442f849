#include "banyantrail/distribution/release_store.h"

#include <set>
#include <utility>

#include "banyantrail/config/release_digest.h"

namespace banyantrail {
namespace {

/// Maximum number of releases remembered as not compiling. The lowest revision
/// is evicted first.
constexpr std::size_t kMaxPermanentlyRefused = 16;

std::size_t SizeOf(const ObjectTexts& objects) {
  std::size_t bytes = 0;
  for (const auto& [key, json] : objects) {
    bytes += key.size() + json.size();
  }
  return bytes;
}

bool IsWellFormed(const ReleaseDeltaMessage& message) {
  if (message.to_revision <= message.from_revision) {
    return false;
  }
  std::set<std::string_view> keys;
  for (const ObjectUpdate& update : message.updates) {
    if (update.key.empty() || !keys.insert(update.key).second) {
      return false;
    }
  }
  return true;
}

ObjectTexts WithUpdates(ObjectTexts objects,
                        const std::vector<ObjectUpdate>& updates) {
  for (const ObjectUpdate& update : updates) {
    if (update.json.empty()) {
      objects.erase(update.key);
    } else {
      objects[update.key] = update.json;
    }
  }
  return objects;
}

std::vector<ObjectUpdate> ToUpdates(
    std::map<std::string, std::string> json_by_key) {
  std::vector<ObjectUpdate> updates;
  updates.reserve(json_by_key.size());
  for (auto& [key, json] : json_by_key) {
    updates.push_back({.key = key, .json = std::move(json)});
  }
  return updates;
}

}  // namespace

std::string_view ToString(ReleaseRefusal refusal) {
  switch (refusal) {
    case ReleaseRefusal::kDigestMismatch:
      return "digest_mismatch";
    case ReleaseRefusal::kDoesNotCompile:
      return "does_not_compile";
    case ReleaseRefusal::kUnreadable:
      return "unreadable";
    case ReleaseRefusal::kMalformed:
      return "malformed";
  }
  return "unknown";
}

std::size_t SizeOf(const std::vector<ObjectUpdate>& updates) {
  std::size_t bytes = 0;
  for (const ObjectUpdate& update : updates) {
    bytes += update.key.size() + update.json.size();
  }
  return bytes;
}

std::vector<ObjectUpdate> DiffOf(const ObjectTexts& from,
                                 const ObjectTexts& to) {
  std::vector<ObjectUpdate> updates;
  for (const auto& [key, json] : to) {
    const auto old = from.find(key);
    if (old == from.end() || old->second != json) {
      updates.push_back({.key = key, .json = json});
    }
  }
  for (const auto& [key, json] : from) {
    if (to.count(key) == 0) {
      updates.push_back({.key = key, .json = ""});
    }
  }
  return updates;
}

ReleaseStore::ReleaseStore(Options options) : m_options(std::move(options)) {}

ApplyResult ReleaseStore::Apply(const ReleaseDeltaMessage& message) {
  if (!IsWellFormed(message)) {
    return Refuse({.revision = message.to_revision,
                   .digest = message.to_digest,
                   .reason = ReleaseRefusal::kMalformed,
                   .detail = "the delta has an empty or duplicate object key, "
                             "or its revisions do not increase"});
  }
  const bool newer = message.to_revision > revision();
  if (m_options.require_greater_revision && !newer) {
    return {.outcome = ApplyOutcome::kAlreadyHave};
  }
  const bool whole = !message.from_revision.exists();
  if (!whole && message.from_revision != revision()) {
    return {.outcome = ApplyOutcome::kNeedsParent};
  }
  ObjectTexts base = whole ? ObjectTexts() : m_current->objects;
  Release next{.revision = message.to_revision,
               .digest = message.to_digest,
               .change = message.change,
               .objects = WithUpdates(std::move(base), message.updates)};
  std::vector<ObjectUpdate> updates =
      whole ? DiffOf(m_current->objects, next.objects) : message.updates;
  return VerifyAndApply(std::move(next), std::move(updates));
}

ApplyResult ReleaseStore::Apply(Release release) {
  if (m_options.require_greater_revision && release.revision <= revision()) {
    return {.outcome = ApplyOutcome::kAlreadyHave};
  }
  std::vector<ObjectUpdate> updates =
      DiffOf(m_current->objects, release.objects);
  return VerifyAndApply(std::move(release), std::move(updates));
}

ApplyResult ReleaseStore::VerifyAndApply(Release release,
                                         std::vector<ObjectUpdate> updates) {
  const std::string digest = DigestOf(release.objects);
  if (m_options.verify_digest && digest != release.digest) {
    return Refuse({.revision = release.revision,
                   .digest = release.digest,
                   .reason = ReleaseRefusal::kDigestMismatch,
                   .detail = "the digest of the content is " + digest});
  }
  if (IsPermanentlyRefused(release.revision, release.digest)) {
    return {.outcome = ApplyOutcome::kRefused, .refused = m_last_refused};
  }
  if (m_options.compile) {
    const std::vector<Fault> faults = m_options.compile(release);
    if (!faults.empty()) {
      return Refuse(
          {.revision = release.revision,
           .digest = release.digest,
           .reason = ReleaseRefusal::kDoesNotCompile,
           .detail = faults.front().place + ": " + faults.front().message});
    }
  }
  AddToWindow(std::move(updates), release);
  m_current = std::make_shared<const Release>(std::move(release));
  if (m_last_refused && m_last_refused->revision <= revision()) {
    m_last_refused.reset();
  }
  return {.outcome = ApplyOutcome::kApplied};
}

ApplyResult ReleaseStore::RefuseUnreadable(Revision revision,
                                           const std::string& reason) {
  return Refuse({.revision = revision,
                 .reason = ReleaseRefusal::kUnreadable,
                 .detail = reason});
}

ApplyResult ReleaseStore::Refuse(RefusedRelease refused) {
  if (refused.reason == ReleaseRefusal::kDoesNotCompile) {
    m_permanently_refused[refused.revision] = refused.digest;
    if (m_permanently_refused.size() > kMaxPermanentlyRefused) {
      m_permanently_refused.erase(m_permanently_refused.begin());
    }
  }
  const bool is_newest =
      !m_last_refused || refused.revision >= m_last_refused->revision;
  if (refused.revision > revision() && is_newest) {
    m_last_refused = refused;
  }
  return {.outcome = ApplyOutcome::kRefused, .refused = std::move(refused)};
}

bool ReleaseStore::IsPermanentlyRefused(Revision revision,
                                        const std::string& digest) const {
  const auto found = m_permanently_refused.find(revision);
  return found != m_permanently_refused.end() && found->second == digest;
}

void ReleaseStore::AddToWindow(std::vector<ObjectUpdate> updates,
                               const Release& next) {
  const std::size_t bytes = SizeOf(updates);
  m_window.push_back({.from_revision = m_current->revision,
                      .from_digest = m_current->digest,
                      .to_revision = next.revision,
                      .updates = std::move(updates),
                      .bytes = bytes});
  m_window_bytes += bytes;
  while (m_window.size() > m_options.max_deltas ||
         m_window_bytes > m_options.max_delta_bytes) {
    m_window_bytes -= m_window.front().bytes;
    m_window.pop_front();
  }
}

std::optional<std::size_t> ReleaseStore::FindInWindow(
    Revision from,
    const std::string& digest) const {
  for (std::size_t i = 0; i < m_window.size(); ++i) {
    const WindowEntry& entry = m_window[i];
    if (entry.from_revision == from && entry.from_digest == digest) {
      return i;
    }
  }
  return std::nullopt;
}

std::optional<ReleaseDeltaMessage> ReleaseStore::DeltaFrom(
    Revision have_revision,
    const std::string& have_digest) const {
  if (have_revision >= revision()) {
    return std::nullopt;
  }
  const std::optional<std::size_t> start =
      FindInWindow(have_revision, have_digest);
  if (!have_revision.exists() || !start) {
    return WholeRelease();
  }
  std::map<std::string, std::string> json_by_key;
  for (std::size_t i = *start; i < m_window.size(); ++i) {
    for (const ObjectUpdate& update : m_window[i].updates) {
      json_by_key[update.key] = update.json;
    }
  }
  ReleaseDeltaMessage delta{.from_revision = have_revision,
                            .to_revision = revision(),
                            .to_digest = m_current->digest,
                            .updates = ToUpdates(std::move(json_by_key)),
                            .change = m_current->change};
  if (SizeOf(delta.updates) >= SizeOf(m_current->objects)) {
    return WholeRelease();
  }
  return delta;
}

ReleaseDeltaMessage ReleaseStore::WholeRelease() const {
  return {.from_revision = {},
          .to_revision = revision(),
          .to_digest = m_current->digest,
          .updates = ToUpdates(m_current->objects),
          .change = m_current->change};
}

}  // namespace banyantrail
