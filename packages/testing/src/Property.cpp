#include "toucanstep/testing/Property.h"

namespace toucanstep::testing {

void expectNoCounterexample(const std::string& description, const char* file, size_t line)
{
    if (description.empty())
        return;
    FAIL_LOCATION(description.c_str(), file, line);
}

} // namespace toucanstep::testing
