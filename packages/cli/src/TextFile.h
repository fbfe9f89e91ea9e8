// Texts of operators, read from files.

#pragma once

#include "toucanstep/config/Parser.h"

#include <optional>
#include <ostream>
#include <string>

namespace toucanstep::cli::internal {

// The file's content; nothing, with a message, where it cannot be read.
std::optional<std::string> readTextFile(const std::string& name, std::ostream& errors);

// The configuration that a file holds; nothing, with all findings printed, where it is not clean. `status` is then the exit
// status to end with.
std::shared_ptr<const config::Configuration> readConfigurationFile(const std::string& name, std::ostream& errors, int& status);

} // namespace toucanstep::cli::internal
