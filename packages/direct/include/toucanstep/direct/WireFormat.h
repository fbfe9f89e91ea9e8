// The names and formats of the platform on which a gateway runs, as the gateway needs them.
//
// An implementation translates and decides nothing. Bytes that cannot be read give nothing and a reason.

#pragma once

#include "toucanstep/direct/Call.h"
#include "toucanstep/direct/DesiredState.h"
#include "toucanstep/direct/Upstream.h"
#include "toucanstep/http1/Message.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace toucanstep::direct {

// A call of the gateway's own to an upstream.
struct ControlRequest {
    std::string method;
    std::string target;
    http1::HeaderList headers;
    std::string body;
};

class WireFormat {
public:
    virtual ~WireFormat() = default;

    // The store's keys: the desired state's, and the prefix of the list of upstreams.
    virtual std::string_view desiredStateKey() const = 0;
    virtual std::string_view upstreamPrefix() const = 0;
    virtual std::string_view readinessTarget() const = 0;

    virtual std::shared_ptr<const DesiredState> readDesiredState(std::string_view value, std::string& reason) const = 0;
    virtual std::optional<UpstreamDescription> readUpstream(std::string_view key, std::string_view value, std::string& reason) const = 0;

    virtual std::optional<CallMetadata> readCall(const http1::RequestHead&, std::string& reason) const = 0;
    // Headers that only the system sets: what a caller sends under these names goes nowhere.
    virtual bool isSystemHeader(std::string_view name) const = 0;
    virtual void appendForwardedHeaders(std::string& out, const ForwardedCall&) const = 0;
    virtual ResponseMetadata readVerdict(const http1::ResponseHead&) const = 0;

    virtual ControlRequest reportRequest(const base::UpstreamId&) const = 0;
    virtual std::optional<EngineReport> readReport(std::string_view body) const = 0;
    virtual ControlRequest orderRequest(const EngineOrder&) const = 0;
    virtual OrderOutcome readOrderOutcome(int status) const = 0;
};

} // namespace toucanstep::direct
