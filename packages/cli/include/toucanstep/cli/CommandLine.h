// The operators' command line: finds the command that the arguments name, parses its options and runs it.

#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace toucanstep::cli {

// Runs `toucanstep ARGUMENTS...` and gives its exit status. Results go to `output`, messages about the call to `errors`.
int runCommandLine(const std::vector<std::string>& arguments, std::ostream& output, std::ostream& errors);

} // namespace toucanstep::cli
