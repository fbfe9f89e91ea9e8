// Interface to the names and data formats of the platform on which a gateway runs.
//
// Implementations only translate between formats; they make no decisions. Malformed input yields an empty result and a
// reason.

#pragma once

#include "toucanstep/direct/Imports.h"
#include "toucanstep/http1/Message.h"
#include "toucanstep/serving/Call.h"
#include "toucanstep/serving/DesiredState.h"
#include "toucanstep/serving/Upstream.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace toucanstep::direct {

// A request that the gateway itself sends to an upstream.
struct ControlRequest {
    std::string method;
    std::string target;
    http1::HeaderList headers;
    std::string body;
};

class WireFormat {
public:
    virtual ~WireFormat() = default;

    // Keys in the store: the prefix of all keys that the operators write, the key of the desired state, the prefix of the keys
    // that name evacuated domains, and the prefix of the upstream entries.
    virtual std::string_view operatorPrefix() const = 0;
    virtual std::string_view desiredStateKey() const = 0;
    virtual std::string_view evacuationPrefix() const = 0;
    virtual std::string_view upstreamPrefix() const = 0;
    virtual std::string_view readinessTarget() const = 0;

    virtual std::shared_ptr<const DesiredState> readDesiredState(std::string_view value, std::string& reason) const = 0;
    virtual std::optional<UpstreamDescription> readUpstream(std::string_view key, std::string_view value, std::string& reason) const = 0;

    virtual std::optional<CallMetadata> readCall(const http1::RequestHead&, std::string& reason) const = 0;
    // Headers that only the system may set; they are dropped from callers' requests.
    virtual bool isSystemHeader(std::string_view name) const = 0;
    virtual void appendForwardedHeaders(std::string& out, const ForwardedCall&) const = 0;
    virtual ResponseMetadata readVerdict(const http1::ResponseHead&) const = 0;

    virtual ControlRequest reportRequest(const base::UpstreamId&) const = 0;
    virtual std::optional<EngineReport> readReport(std::string_view body) const = 0;
    // Returns nothing for names that the format cannot express.
    virtual std::optional<ControlRequest> orderRequest(const EngineOrder&) const = 0;
    virtual OrderOutcome readOrderOutcome(int status) const = 0;
};

} // namespace toucanstep::direct
