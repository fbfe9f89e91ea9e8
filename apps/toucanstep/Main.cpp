// The operators' command line. All of it is in packages/cli, where it can be tested.

#include "SettingsFile.h"
#include "toucanstep/cli/Command.h"
#include "toucanstep/cli/CommandLine.h"
#include "toucanstep/fleet/Demo.h"

#include <iostream>

int main(int argc, char** argv)
{
    // The demo brings whole daemons along, which the library of the other commands does not depend on.
    toucanstep::cli::addCommand(toucanstep::fleet::makeDemoCommand());
    toucanstep::cli::setSettingsChecker([](const std::string& text) { return toucanstep::platform::readSettings(text).findings; });
    return toucanstep::cli::runCommandLine({ argv + 1, argv + argc }, std::cout, std::cerr);
}
