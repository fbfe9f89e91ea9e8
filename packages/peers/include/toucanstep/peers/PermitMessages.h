// How a sidecar asks the home of the weight store's permits for one, and gives it back.

#pragma once

#include "toucanstep/base/Result.h"
#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"

#include <string>
#include <string_view>

namespace toucanstep::peers {

inline constexpr std::string_view permitAskMethod = "permit_ask";
inline constexpr std::string_view permitReturnMethod = "permit_return";

struct PermitAsk {
    base::ModelId model;
    bool adapter = false;
    // Time left until the earliest deadline of those who wait for the load.
    base::Duration remaining {};
    int64_t weight = 1;
    base::Duration loadTime {};
};

struct PermitAnswer {
    // Zero where none is lent yet; ask again.
    int64_t permit = 0;
    // For how long the permit is lent.
    base::Duration lentFor {};
    // When one is expected, as remaining time.
    base::Duration expectedIn {};
};

// Also withdraws an ask that has no permit yet.
struct PermitReturn {
    base::ModelId model;
    int64_t permit = 0;
};

std::string encode(const PermitAsk&);
std::string encode(const PermitAnswer&);
std::string encode(const PermitReturn&);

// Each fails with ErrorKind::Malformed where the bytes are not that message.
base::Result<PermitAsk> decodePermitAsk(std::string_view);
base::Result<PermitAnswer> decodePermitAnswer(std::string_view);
base::Result<PermitReturn> decodePermitReturn(std::string_view);

} // namespace toucanstep::peers
