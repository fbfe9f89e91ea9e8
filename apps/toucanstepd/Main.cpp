// The daemon. `toucanstepd direct` runs on the users' platform; everything else is described by `toucanstepd --help`.

#include "Modes.h"

#include <csignal>
#include <glog/logging.h>
#include <iostream>
#include <string_view>

int main(int argc, char** argv)
{
    // By default the signal ends a process that has only just started.
    std::signal(SIGHUP, SIG_IGN);
    google::InitGoogleLogging(argv[0]);
    if (argc > 1 && std::string_view(argv[1]) == "direct")
        return toucanstepd::runDirect();
#ifdef TOUCANSTEP_DIRECT_ONLY
    std::cerr << "toucanstepd: this build has one mode: toucanstepd direct\n";
    return 2;
#else
    return toucanstepd::runFleet(argc, argv);
#endif
}
