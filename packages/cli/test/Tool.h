// Runs the command line inside the test, and makes texts on disk for it.

#pragma once

#include "toucanstep/cli/CommandLine.h"

#include <CppUTest/TestHarness.h>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>
#include <vector>

namespace toucanstep::cli::test {

inline const char* const sample = TOUCANSTEP_SOURCE_FOLDER "/samples/first.json";

struct ToolRun {
    int status = 0;
    std::string output;
    std::string errors;

    bool prints(const std::string& part) const { return output.find(part) != std::string::npos; }
    bool complains(const std::string& part) const { return errors.find(part) != std::string::npos; }
};

inline ToolRun runTool(const std::vector<std::string>& arguments)
{
    std::ostringstream output;
    std::ostringstream errors;
    int status = runCommandLine(arguments, output, errors);
    return { status, output.str(), errors.str() };
}

inline std::string contentOf(const std::string& name)
{
    std::ifstream stream(name);
    return { std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>() };
}

// `text` with one part replaced, which must be there.
inline std::string replaced(std::string text, const std::string& part, const std::string& replacement)
{
    size_t offset = text.find(part);
    CHECK_TRUE(offset != std::string::npos);
    return text.replace(offset, part.size(), replacement);
}

// A file that goes with the object.
class TemporaryFile {
public:
    explicit TemporaryFile(const std::string& content)
        : m_name("/tmp/toucanstep-cli-XXXXXX")
    {
        int descriptor = mkstemp(m_name.data());
        CHECK_TRUE(descriptor >= 0);
        close(descriptor);
        std::ofstream(m_name) << content;
    }
    ~TemporaryFile() { std::remove(m_name.c_str()); }
    TemporaryFile(const TemporaryFile&) = delete;
    TemporaryFile& operator=(const TemporaryFile&) = delete;

    const std::string& name() const { return m_name; }

private:
    std::string m_name;
};

} // namespace toucanstep::cli::test
