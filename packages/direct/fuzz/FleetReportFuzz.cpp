// Anyone who can reach the port can send datagrams: malformed input must only yield an empty result.

#include "toucanstep/direct/FleetReports.h"

#include <cstdint>

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    auto report = toucanstep::direct::decodeReport(std::string_view(reinterpret_cast<const char*>(data), size));
    if (report)
        toucanstep::direct::encodeReport(*report);
    return 0;
}
