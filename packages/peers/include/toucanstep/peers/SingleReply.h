// Hears a call that is answered by one message at most.

#pragma once

#include "toucanstep/base/KeyValue.h"
#include "toucanstep/peers/PeerClient.h"

#include <functional>
#include <string>
#include <utility>

namespace toucanstep::peers {

// Calls back once, on the traffic loop, with the message or the error. An answer that ended whole without a message gives an
// empty one.
class SingleReply final : public PeerCallListener {
public:
    explicit SingleReply(std::function<void(base::Outcome<std::string>)> callback)
        : m_callback(std::move(callback))
    {
    }

    void onMessage(std::string message) override { m_message = std::move(message); }

    void onEnd(std::optional<base::Error> error) override
    {
        base::Outcome<std::string> outcome = std::move(m_message);
        if (error)
            outcome = std::move(*error);
        m_callback(std::move(outcome));
    }

private:
    std::function<void(base::Outcome<std::string>)> m_callback;
    std::string m_message;
};

} // namespace toucanstep::peers
