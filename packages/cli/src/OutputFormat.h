// The option `--format`, which several commands share.

#pragma once

#include "toucanstep/cli/Command.h"

#include <optional>

namespace toucanstep::cli::internal {

enum class OutputFormat {
    Text,
    Json,
};

void declareFormat(Syntax&);

// Nothing, with a message, for a format that is not known.
std::optional<OutputFormat> readFormat(const Arguments&, std::ostream& errors);

} // namespace toucanstep::cli::internal
