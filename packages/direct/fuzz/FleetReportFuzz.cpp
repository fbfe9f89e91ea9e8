// Reports come as datagrams from anyone who reaches the port: no bytes may do more than give nothing.

#include "toucanstep/direct/FleetReports.h"

#include <cstdint>

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    auto report = toucanstep::direct::decodeReport(std::string_view(reinterpret_cast<const char*>(data), size));
    if (report)
        toucanstep::direct::encodeReport(*report);
    return 0;
}
