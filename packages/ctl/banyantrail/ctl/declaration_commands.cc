#include "banyantrail/ctl/declaration_commands.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <thread>

#include "banyantrail/config/publish_outcome.h"
#include "banyantrail/ctl/declaration_files.h"
#include "banyantrail/ctl/node_queries.h"
#include "banyantrail/ctl/release_diff.h"
#include "banyantrail/ctl/render.h"
#include "banyantrail/ctl/submit_change.h"

namespace banyantrail::ctl {
namespace {

using nlohmann::json;

void PrintFaults(CommandContext& context, const std::vector<Fault>& faults) {
  if (context.options.output == OutputFormat::kJson) {
    context.out << json{{"faults", ToJson(faults)}}.dump(2) << "\n";
    return;
  }
  context.err << FaultsText(faults);
  context.err << faults.size() << (faults.size() == 1 ? " fault" : " faults")
              << "; nothing was changed\n";
}

/// Returns the declarations of a directory, or nullopt after printing faults.
std::optional<Declarations> ReadValidDeclarations(
    CommandContext& context,
    const std::string& directory) {
  Declarations declarations =
      ParseDeclarations(ReadDeclarationFiles(directory));
  if (!declarations.faults.empty()) {
    PrintFaults(context, declarations.faults);
    return std::nullopt;
  }
  return declarations;
}

/// Returns a random 128-bit id in hexadecimal.
ChangeId NewChangeId() {
  constexpr int kWords = 4;
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr unsigned kWordBits = 32;
  constexpr unsigned kDigitBits = 4;
  std::random_device device;
  std::string id;
  for (int i = 0; i < kWords; ++i) {
    std::uint32_t word = device();
    for (unsigned bit = 0; bit < kWordBits; bit += kDigitBits) {
      id += kDigits[word >> bit & 0xFU];
    }
  }
  return ChangeId(id);
}

ChangeProposal MakeProposal(const CtlOptions& options,
                            const ReleaseDiff& diff,
                            const Release& base,
                            const ObjectTexts& desired) {
  ChangeProposal proposal = ProposeDiff(diff, base, desired);
  proposal.change = options.change ? *options.change : NewChangeId();
  proposal.author = options.author;
  proposal.summary = options.message;
  return proposal;
}

std::string SummaryText(const ReleaseDiff& diff) {
  const auto count = [&](ChangeKind kind) {
    return std::to_string(
        std::ranges::count(diff.changes, kind, &ObjectChange::kind));
  };
  return count(ChangeKind::kCreated) + " created, " +
         count(ChangeKind::kChanged) + " changed, " +
         count(ChangeKind::kDeleted) + " deleted";
}

void PrintAccepted(CommandContext& context,
                   ReleaseNumber revision,
                   const ChangeId& change,
                   const ReleaseDiff& diff) {
  if (context.options.output == OutputFormat::kJson) {
    json out = DiffJson(diff);
    out["revision"] = revision;
    out["change"] = change.str();
    context.out << out.dump(2) << "\n";
    return;
  }
  context.out << "accepted as revision " << revision << ": "
              << SummaryText(diff) << "\n";
}

void PrintFailure(CommandContext& context,
                  const PublishOutcome& outcome,
                  const ChangeId& change) {
  if (context.options.output == OutputFormat::kJson) {
    json out = ToChangeResponse(outcome).body;
    out["change"] = change.str();
    context.out << out.dump(2) << "\n";
    return;
  }
  context.err << ConflictsText(outcome.conflicts) << FaultsText(outcome.faults)
              << "banyantrailctl: " << outcome.message << "; " << outcome.remedy
              << "\n";
  if (outcome.status == PublishStatus::kOutcomeUnknown) {
    context.err << "To find out whether the change was accepted, run the same "
                   "command with --change "
                << change.str() << "\n";
  }
}

ExitCode ToExitCode(PublishStatus status) {
  switch (status) {
    case PublishStatus::kAccepted:
      return ExitCode::kOk;
    case PublishStatus::kConflict:
    case PublishStatus::kInvalid:
      return ExitCode::kRefused;
    case PublishStatus::kNotRun:
      return ExitCode::kUnavailable;
    case PublishStatus::kOutcomeUnknown:
      return ExitCode::kOutcomeUnknown;
  }
  return ExitCode::kOutcomeUnknown;
}

ExitCode Submit(CommandContext& context,
                const ChangeProposal& proposal,
                const ReleaseDiff& diff,
                const Declarations& declarations) {
  PublishOutcome outcome = SubmitChange(
      context.client, proposal, SubmitOptions{},
      [](milliseconds delay) { std::this_thread::sleep_for(delay); });
  outcome.faults =
      LocateFaults(std::move(outcome.faults), declarations.origins);
  if (outcome.status == PublishStatus::kAccepted) {
    PrintAccepted(context, outcome.revision, proposal.change, diff);
  } else {
    PrintFailure(context, outcome, proposal.change);
  }
  return ToExitCode(outcome.status);
}

/// Returns the release that `diff` compares with, or nullopt after printing the
/// faults of the directory given with --against.
std::optional<Release> ReadDiffBase(CommandContext& context) {
  if (context.options.against) {
    const auto other = ReadValidDeclarations(context, *context.options.against);
    return other ? std::optional(Release{.objects = other->objects})
                 : std::nullopt;
  }
  return context.options.base
             ? GetReleaseAt(context.client, *context.options.base)
             : GetAppliedRelease(context.client);
}

}  // namespace

ExitCode RunValidate(CommandContext& context) {
  const auto declarations =
      ReadValidDeclarations(context, context.options.operands[0]);
  if (!declarations) {
    return ExitCode::kRefused;
  }
  if (context.options.output == OutputFormat::kJson) {
    context.out << json{{"objects", declarations->objects.size()},
                        {"faults", json::array()}}
                       .dump(2)
                << "\n";
  } else {
    context.out << declarations->objects.size() << " objects are valid\n";
  }
  return ExitCode::kOk;
}

ExitCode RunDiff(CommandContext& context) {
  const auto declarations =
      ReadValidDeclarations(context, context.options.operands[0]);
  if (!declarations) {
    return ExitCode::kRefused;
  }
  const std::optional<Release> base = ReadDiffBase(context);
  if (!base) {
    return ExitCode::kRefused;
  }
  const ReleaseDiff diff = DiffObjects(base->objects, declarations->objects,
                                       {.prune = context.options.prune});
  if (context.options.output == OutputFormat::kJson) {
    context.out << DiffJson(diff).dump(2) << "\n";
  } else {
    context.out << DiffText(diff);
  }
  return diff.changes.empty() ? ExitCode::kOk : ExitCode::kDifferences;
}

ExitCode RunApply(CommandContext& context) {
  const CtlOptions& options = context.options;
  const auto declarations = ReadValidDeclarations(context, options.operands[0]);
  if (!declarations) {
    return ExitCode::kRefused;
  }
  const Release base = options.base
                           ? GetReleaseAt(context.client, *options.base)
                           : GetNewestRelease(context.client);
  const ReleaseDiff diff = DiffObjects(base.objects, declarations->objects,
                                       {.prune = options.prune});
  if (diff.changes.empty()) {
    if (options.output == OutputFormat::kJson) {
      PrintAccepted(context, base.revision.number, base.change, diff);
    } else {
      context.out << "no changes: revision " << base.revision.number
                  << " already has these declarations\n";
    }
    return ExitCode::kOk;
  }
  const ChangeProposal proposal =
      MakeProposal(options, diff, base, declarations->objects);
  return Submit(context, proposal, diff, *declarations);
}

}  // namespace banyantrail::ctl
