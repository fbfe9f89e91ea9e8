// Feeds arbitrary bytes to the reader of membership messages, and what it accepts to a node.

#include "toucanstep/membership/Membership.h"

using namespace toucanstep;

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    base::Error error;
    std::string_view bytes(reinterpret_cast<const char*>(data), size);
    auto message = base::valueOr(error, [bytes] { return membership::decodeMessage(bytes); });
    if (!message)
        return 0;
    base::Instant now { std::chrono::hours(1) };
    membership::Entry self { .instance = base::InstanceId("self"), .address = "10.0.0.1:1" };
    membership::Membership node({}, self, {}, now);
    node.onMessage(*message, now);
    membership::RandomGenerator random(1);
    node.tick(now + std::chrono::seconds(1), random);
    return 0;
}
