// Where the system keeps its entries in the key-value service.

#pragma once

#include <string_view>

namespace toucanstep::node {

// The operators' text in force; its modification revision is the configuration's version.
inline constexpr std::string_view configurationKey = "/toucanstep/config/current";
// The last versions with who published them and when, by version.
inline constexpr std::string_view configurationHistoryPrefix = "/toucanstep/config/history/";

// The name under which the platform's list shows the gateways.
inline constexpr std::string_view gatewayListName = "toucanstep-gateway";

} // namespace toucanstep::node
