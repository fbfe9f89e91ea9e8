// What the cases have in common: the exit statuses, the temporary folder and the switch for the disruption.

#pragma once

#include "toucanstep/base/Text.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <iostream>
#include <string>
#include <string_view>
#include <unistd.h>

namespace toucanstep::review {

constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

// `run` gets a folder of its own, the path of the record, and whether there is a disruption; it returns one of the statuses.
inline int runCase(int count, char** arguments, const std::function<int(const std::string& folder, const std::string& record, bool trouble)>& run)
{
    constexpr int wanted = 2;
    if (count != wanted)
        return couldNotRun;
    std::signal(SIGPIPE, SIG_IGN);
    const char* trouble = std::getenv("TROUBLE");
    std::string folder = (std::filesystem::temp_directory_path() / base::concat("toucanstep-review-", getpid())).string();
    int result = couldNotRun;
    try {
        std::filesystem::create_directories(folder);
        result = run(folder, arguments[1], !trouble || std::string_view(trouble) != "0");
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
    }
    std::filesystem::remove_all(folder);
    return result;
}

} // namespace toucanstep::review
