#include "toucanstep/limits/AdmissionPolicy.h"

#include <deque>

namespace toucanstep::limits {

namespace {

// Carries the planner's messages out one by one until it has an outcome; a charge without a reply is moved on by its
// own timeout.
class PlannerDriver {
public:
    PlannerDriver(ChargeCoordinator& planner, ChargeTransport& exchange, base::Instant now)
        : m_planner(planner)
        , m_exchange(exchange)
        , m_now(now)
    {
    }

    void run()
    {
        queue(m_planner.start(m_now));
        while (!m_queue.empty() || !m_planner.outcome())
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
            m_now = std::max(m_now, *m_planner.nextWakeUp());
            queue(m_planner.onTick(m_now));
            return;
        }
        AddressedMessage next = std::move(m_queue.front());
        m_queue.pop_front();
        const auto* request = std::get_if<ChargeRequest>(&next.message);
        if (!request) {
            m_exchange.send(next.to, next.message);
            return;
        }
        if (std::optional<ChargeReply> reply = m_exchange.charge(next.to, *request))
            queue(m_planner.onReply(*reply, m_now));
    }

    ChargeCoordinator& m_planner;
    ChargeTransport& m_exchange;
    base::Instant m_now;
    std::deque<AddressedMessage> m_queue;
};

} // namespace

SharePolicy::SharePolicy(ChargeOptions options, ChargeTransport& exchange)
    : m_options(std::move(options))
    , m_exchange(exchange)
{
}

PolicyDecision SharePolicy::admit(const AccountCharge& order, base::Instant now)
{
    ChargeCoordinator planner(m_options, order, m_exchange.shares(order.account, now));
    PlannerDriver(planner, m_exchange, now).run();
    if (const auto* refused = std::get_if<ChargeRefused>(&*planner.outcome()))
        return { false, refused->code, refused->retryAt };
    m_admitted[order.request] = std::get<ChargeAdmitted>(*planner.outcome()).parts;
    return { .admitted = true };
}

void SharePolicy::settle(const base::RequestId& request, base::Tokens unused, base::Instant)
{
    auto found = m_admitted.find(request);
    if (found == m_admitted.end())
        return;
    for (const auto& message : returnUnused(found->second, unused))
        m_exchange.send(message.to, message.message);
    m_admitted.erase(found);
}

} // namespace toucanstep::limits
