// An upstream that has stopped answering a call, kept while the call is offered to another one.
//
// It is not read meanwhile, so that what it sends waits in the system's buffers until the call returns to it.

#pragma once

#include "EventSplitter.h"
#include "SpeedObserver.h"
#include "toucanstep/direct/WireFormat.h"
#include "toucanstep/http1/Client.h"

#include <functional>
#include <memory>
#include <optional>

namespace toucanstep::direct {

// How far the call has come at one upstream.
struct UpstreamProgress {
    base::UpstreamId upstream;
    StartId start;
    base::Instant sent;
    ObservedCall observed;
    // When the first event of this upstream was forwarded.
    std::optional<base::Instant> firstEvent;
    http1::ResponseHead head;
    ResponseMetadata metadata;
    bool receivedHead = false;
    size_t answerBytes = 0;
    std::string bufferedBody;
    EventSplitter events;
};

class SilentUpstream final : public http1::ExchangeListener {
public:
    // `onLost` is called once if the connection breaks; it may destroy this.
    SilentUpstream(std::unique_ptr<http1::Exchange> exchange, UpstreamProgress progress, std::function<void()> onLost)
        : m_exchange(std::move(exchange))
        , m_progress(std::move(progress))
        , m_onLost(std::move(onLost))
    {
        m_exchange->setReading(false);
        m_exchange->setListener(this);
    }

    const UpstreamProgress& progress() const { return m_progress; }
    UpstreamProgress takeProgress() { return std::move(m_progress); }
    // Reads again, for the listener.
    std::unique_ptr<http1::Exchange> takeExchange(http1::ExchangeListener* listener)
    {
        m_exchange->setListener(listener);
        m_exchange->setReading(true);
        return std::move(m_exchange);
    }

    // Without reading, only a broken connection is noticed.
    void onHead(http1::ResponseHead) override { }
    void onBody(std::string_view) override { }
    void onWhole() override { lost(); }
    void onBroken(http1::Breakage) override { lost(); }

private:
    void lost()
    {
        auto handler = std::move(m_onLost);
        handler();
    }

    std::unique_ptr<http1::Exchange> m_exchange;
    UpstreamProgress m_progress;
    std::function<void()> m_onLost;
};

} // namespace toucanstep::direct
