// Options that the commands share which talk to the platform and to the fleet.

#pragma once

#include "toucanstep/base/KeyValue.h"
#include "toucanstep/cli/Command.h"
#include "toucanstep/formats/HttpClient.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

namespace toucanstep::cli::internal {

// Exit statuses of the commands that talk to the platform.
inline constexpr int exitLostRace = 3;
inline constexpr int exitOutcomeUnknown = 4;
inline constexpr int exitUnreachable = 5;

void declareStore(Syntax&);
void declareTimeout(Syntax&);

// A whole number without a sign; nothing for anything else.
std::optional<int64_t> readNumber(std::string_view);
// Seconds above zero, with or without a fraction. Nothing, with a message, for anything else.
std::optional<base::Duration> readSeconds(const Arguments&, const std::string& option, std::ostream& errors);
// The value of an option that must be given. Nothing, with a message, where it is not.
std::optional<std::string> readRequired(const Arguments&, const std::string& option, std::ostream& errors);

// The key-value service that `--store` names.
std::unique_ptr<base::KeyValueStore> openStore(const std::string& url);

} // namespace toucanstep::cli::internal
