#include "PermitClient.h"

#include "toucanstep/base/LogLine.h"
#include "toucanstep/peers/PermitMessages.h"
#include "toucanstep/peers/SingleReply.h"

#include <absl/hash/hash.h>
#include <algorithm>

namespace toucanstep::sidecar::internal {

namespace {

constexpr base::Duration askInterval = std::chrono::milliseconds(20);
// The home holds an ask back until a permit is free, for 1.5 s at most.
constexpr base::Duration askTimeout = std::chrono::milliseconds(2200);
constexpr int64_t thousandths = 1000;

} // namespace

PermitClient::PermitClient(node::Node& node)
    : m_node(node)
{
}

PermitClient::~PermitClient()
{
    *m_alive = false;
}

std::optional<base::Endpoint> PermitClient::home() const
{
    auto instances = m_node.instances();
    auto gateways = instances->gatewaysInOrder();
    return gateways.empty() ? std::nullopt : std::optional(gateways.front()->peer);
}

bool PermitClient::permitted(const PermitNeed& need)
{
    Entry& entry = m_entries[need.model];
    entry.need = need;
    if (entry.local || (entry.permit && now() < entry.lentUntil))
        return true;
    entry.permit = 0;
    if (!entry.asking && now() >= entry.nextAsk)
        ask(entry);
    return !m_homeReachable && guess(entry);
}

bool PermitClient::guess(Entry& entry)
{
    if (!m_local) {
        placement::FallbackLoadLimiterSettings settings;
        auto configuration = m_node.configuration();
        settings.fleet.models = configuration->loads.concurrentLoads;
        settings.fleet.adapters = configuration->loads.adaptersInFlight;
        auto instances = m_node.instances();
        settings.sidecars = std::max<int64_t>(1, static_cast<int64_t>(instances->inList(m_node.settings().listName).size()));
        auto phase = static_cast<int64_t>(absl::HashOf(m_node.startNonce()) % thousandths);
        m_local = std::make_unique<placement::FallbackLoadLimiter>(settings, phase, now());
    }
    entry.local = m_local->tryBegin(entry.need.kind, entry.need.loadTime, now());
    if (entry.local)
        base::LogLine("permit_guessed").add("model", entry.need.model);
    return entry.local;
}

void PermitClient::ask(Entry& entry)
{
    auto target = home();
    entry.nextAsk = now() + askInterval;
    if (!target) {
        m_homeReachable = false;
        return;
    }
    entry.asking = true;
    peers::PermitAsk message;
    message.model = entry.need.model;
    message.adapter = entry.need.kind == placement::PermitKind::Adapter;
    message.remaining = base::remaining(now(), entry.need.earliestDeadline);
    message.weight = entry.need.weight;
    message.loadTime = entry.need.loadTime;
    auto listener = std::make_shared<peers::SingleReply>([this, alive = m_alive, model = entry.need.model](const base::Outcome<std::string>& outcome) {
        if (*alive)
            onAnswer(model, outcome);
    });
    m_node.peers().call({ *target, peers::Method(std::string(peers::permitAskMethod)), peers::encode(message), now() + askTimeout }, listener);
}

void PermitClient::onAnswer(const base::ModelId& model, const base::Outcome<std::string>& outcome)
{
    auto* body = std::get_if<std::string>(&outcome);
    m_homeReachable = body != nullptr;
    auto found = m_entries.find(model);
    if (found == m_entries.end())
        return;
    found->second.asking = false;
    base::Error error;
    auto answer = body ? base::valueOr(error, [&] { return peers::decodePermitAnswer(*body); }) : std::nullopt;
    if (!answer || !answer->permit)
        return;
    found->second.permit = answer->permit;
    found->second.lentUntil = now() + answer->lentFor;
}

void PermitClient::done(const base::ModelId& model)
{
    auto found = m_entries.find(model);
    if (found == m_entries.end())
        return;
    Entry entry = found->second;
    m_entries.erase(found);
    if (entry.local && m_local)
        m_local->ended(entry.need.kind);
    auto target = home();
    if (!target || entry.local)
        return;
    auto listener = std::make_shared<peers::SingleReply>([](const base::Outcome<std::string>&) {});
    m_node.peers().call({ *target, peers::Method(std::string(peers::permitReturnMethod)), peers::encode(peers::PermitReturn { model, entry.permit }), now() + askTimeout }, listener);
}

} // namespace toucanstep::sidecar::internal
