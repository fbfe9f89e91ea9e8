#include "RecordCleaning.h"

#include "toucanstep/base/LogLine.h"

namespace toucanstep::gateway::internal {

namespace {

// All parts are looked at once in about a quarter of an hour.
constexpr base::Duration interval = std::chrono::seconds(3);

class TextRetention final : public calls::RetentionPolicy {
public:
    explicit TextRetention(const config::Configuration& configuration)
        : m_configuration(configuration)
    {
    }

    base::Duration retention(const base::ServiceId& id) const override
    {
        if (const config::Service* service = m_configuration.findService(id))
            return service->retention;
        base::Duration longest {};
        for (const config::Service& service : m_configuration.services)
            longest = std::max(longest, service.retention);
        return longest;
    }

private:
    const config::Configuration& m_configuration;
};

calls::UnixMilliseconds unixNow()
{
    return calls::UnixMilliseconds(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

} // namespace

RecordCleaning::RecordCleaning(node::Node& node)
    : m_node(node)
    , m_cleaner({})
{
}

RecordCleaning::~RecordCleaning()
{
    *m_alive = false;
}

void RecordCleaning::install()
{
    m_node.addSystem([this](base::Instant now) { tick(now); });
}

void RecordCleaning::tick(base::Instant now)
{
    if (now < m_next || !m_node.configuration()->version.value())
        return;
    m_next = now + interval;
    auto instances = m_node.instances();
    auto gateways = instances->gatewaysInOrder();
    if (gateways.empty() || gateways.front()->instance != m_node.settings().instance)
        return;
    m_node.store().list(m_cleaner.nextPrefix(), now + m_node.options().storeTimeout, [this, alive = m_alive, loop = &m_node.control()](base::Outcome<base::RangeReply> outcome) {
        loop->post([this, alive, outcome = std::move(outcome)] {
            auto* reply = std::get_if<base::RangeReply>(&outcome);
            if (*alive && reply)
                onRange(*reply);
        });
    });
}

void RecordCleaning::onRange(const base::RangeReply& reply)
{
    auto configuration = m_node.configuration();
    calls::CleanPlan plan = m_cleaner.plan(reply, TextRetention(*configuration), unixNow());
    for (const std::string& key : plan.malformed)
        base::LogLine("call_record_malformed").add("key", key);
    if (plan.expired)
        base::LogLine("call_records_expired").add("expired", plan.expired).add("kept", plan.kept);
    for (base::Transaction& transaction : plan.transactions) {
        // A deletion whose answer is lost is found again, or not, at the next turn.
        m_node.store().commit(std::move(transaction), m_node.control().now() + m_node.options().storeTimeout, [](const base::Outcome<base::TransactionReply>&) {});
    }
}

} // namespace toucanstep::gateway::internal
