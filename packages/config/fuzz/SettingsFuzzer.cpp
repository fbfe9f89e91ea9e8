// No settings crash the reader; each gives settings, or findings with a place. No file is read.

#include "SettingsText.h"

#include <cstdlib>

using namespace toucanstep;

namespace {

class FixedSecret final : public config::internal::SecretSource {
public:
    std::optional<std::string> read(const std::string&) override { return "0123456789abcdef"; }
};

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    FixedSecret secret;
    std::string_view text(reinterpret_cast<const char*>(data), size);
    config::ParsedSettings parsed = config::internal::parseSettingsWith("fuzz.json", text, secret);
    if (parsed.settings.has_value() == parsed.findings.hasErrors())
        std::abort();
    for (const base::Finding& finding : parsed.findings.all()) {
        if (finding.place.line < 1 || finding.place.column < 1)
            std::abort();
    }
    return 0;
}
