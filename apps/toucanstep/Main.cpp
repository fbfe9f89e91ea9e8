// The operators' command line. All of it is in packages/cli, where it can be tested.

#include "toucanstep/cli/CommandLine.h"

#include <iostream>

int main(int argc, char** argv)
{
    return toucanstep::cli::runCommandLine({ argv + 1, argv + argc }, std::cout, std::cerr);
}
