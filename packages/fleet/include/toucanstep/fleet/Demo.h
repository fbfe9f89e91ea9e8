// `toucanstep demo`: the whole path in one process, with real HTTP requests, and what happened to each and why.

#pragma once

#include "toucanstep/cli/Command.h"

#include <memory>

namespace toucanstep::fleet {

std::unique_ptr<cli::Command> makeDemoCommand();

} // namespace toucanstep::fleet
