#include "toucanstep/limits/AdmissionPolicy.h"

#include <deque>

namespace toucanstep::limits {

namespace {

// Sends the coordinator's messages one by one until it has an outcome. If a charge gets no reply, advances the time
// to the coordinator's next timeout.
class CoordinatorDriver {
public:
    CoordinatorDriver(ChargeCoordinator& coordinator, ChargeTransport& transport, base::Instant now)
        : m_coordinator(coordinator)
        , m_transport(transport)
        , m_now(now)
    {
    }

    void run()
    {
        queue(m_coordinator.start(m_now));
        while (!m_queue.empty() || !m_coordinator.outcome())
            step();
    }

private:
    void queue(std::vector<AddressedMessage> messages)
    {
        for (auto& message : messages)
            m_queue.push_back(std::move(message));
    }

    void step()
    {
        if (m_queue.empty()) {
            m_now = std::max(m_now, *m_coordinator.nextWakeUp());
            queue(m_coordinator.onTick(m_now));
            return;
        }
        AddressedMessage next = std::move(m_queue.front());
        m_queue.pop_front();
        const auto* request = std::get_if<ChargeRequest>(&next.message);
        if (!request) {
            m_transport.send(next.to, next.message);
            return;
        }
        if (std::optional<ChargeReply> reply = m_transport.charge(next.to, *request))
            queue(m_coordinator.onReply(*reply, m_now));
    }

    ChargeCoordinator& m_coordinator;
    ChargeTransport& m_transport;
    base::Instant m_now;
    std::deque<AddressedMessage> m_queue;
};

} // namespace

SharePolicy::SharePolicy(ChargeOptions options, ChargeTransport& transport)
    : m_options(std::move(options))
    , m_transport(transport)
{
}

PolicyDecision SharePolicy::admit(const AccountCharge& charge, base::Instant now)
{
    ChargeCoordinator coordinator(m_options, charge, m_transport.shares(charge.account, now));
    CoordinatorDriver(coordinator, m_transport, now).run();
    if (const auto* refused = std::get_if<ChargeRefused>(&*coordinator.outcome()))
        return { false, refused->code, refused->retryAt };
    m_admitted[charge.request] = std::get<ChargeAdmitted>(*coordinator.outcome()).parts;
    return { .admitted = true };
}

void SharePolicy::settle(const base::RequestId& request, base::Tokens unused, base::Instant)
{
    auto found = m_admitted.find(request);
    if (found == m_admitted.end())
        return;
    for (const auto& message : returnUnused(found->second, unused))
        m_transport.send(message.to, message.message);
    m_admitted.erase(found);
}

} // namespace toucanstep::limits
