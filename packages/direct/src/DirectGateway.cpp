#include "toucanstep/direct/DirectGateway.h"

#include "GatewayCore.h"

namespace toucanstep::direct {

namespace {

// Owns the event loop, and creates, uses and destroys the core on the loop's thread.
class ThreadedGateway final : public DirectGateway {
public:
    ThreadedGateway()
        : m_loop(std::make_unique<base::BootClock>())
    {
    }
    ~ThreadedGateway() override
    {
        m_loop.runAndWait([this] { m_core.reset(); });
    }

    std::optional<base::Error> begin(DirectGatewaySettings settings, std::shared_ptr<const WireFormat> format, const StoreFactory& makeStore)
    {
        std::optional<base::Error> failure;
        m_loop.runAndWait([&] {
            m_core = std::make_unique<GatewayCore>(m_loop, std::move(settings), std::move(format), makeStore);
            base::Error error;
            auto started = base::valueOr(error, [&]() -> base::Result<bool> {
                BOOST_LEAF_CHECK(m_core->start());
                return true;
            });
            if (!started)
                failure = error;
        });
        return failure;
    }

    void leave() override
    {
        base::Instant noticed = m_loop.now();
        m_loop.runAndWait([this, noticed] { m_core->leave(noticed); });
    }
    bool drained() const override { return m_core->drained(); }
    base::Endpoint callerEndpoint() const override { return m_core->callerEndpoint(); }
    base::Endpoint operatorEndpoint() const override { return m_core->operatorEndpoint(); }

private:
    io::EventLoop m_loop;
    std::unique_ptr<GatewayCore> m_core;
};

} // namespace

base::Result<std::unique_ptr<DirectGateway>> DirectGateway::start(DirectGatewaySettings settings, std::shared_ptr<const WireFormat> format, StoreFactory makeStore)
{
    auto gateway = std::make_unique<ThreadedGateway>();
    if (auto error = gateway->begin(std::move(settings), std::move(format), makeStore))
        return base::fail(error->kind, error->message);
    return std::unique_ptr<DirectGateway>(std::move(gateway));
}

} // namespace toucanstep::direct
