// Files of the repository, for tests that check what is committed.

#pragma once

#include <CppUTest/TestHarness.h>
#include <fstream>
#include <iterator>
#include <string>

namespace toucanstep::config {

inline std::string readRepositoryFile(const std::string& name)
{
    std::ifstream stream(std::string(TOUCANSTEP_SOURCE_FOLDER "/") + name, std::ios::binary);
    CHECK_TRUE_TEXT(stream.good(), name.c_str());
    return { std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>() };
}

} // namespace toucanstep::config
