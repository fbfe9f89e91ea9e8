// No text crashes the parser; each gives a configuration, or findings with a place inside the text.

#include "toucanstep/config/Parser.h"

#include <cstdlib>

using namespace toucanstep;

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    std::string_view text(reinterpret_cast<const char*>(data), size);
    config::ParsedConfiguration parsed = config::parseConfiguration("fuzz.json", text);
    if ((parsed.configuration == nullptr) != parsed.findings.hasErrors())
        std::abort();
    for (const base::Finding& finding : parsed.findings.all()) {
        if (finding.place.line < 1 || finding.place.column < 1 || static_cast<size_t>(finding.place.line) > size + 1)
            std::abort();
    }
    parsed.findings.render();
    return 0;
}
