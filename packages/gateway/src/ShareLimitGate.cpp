#include "ShareLimitGate.h"

#include "ChargeCodec.h"
#include "toucanstep/base/LogLine.h"
#include "toucanstep/base/Text.h"
#include "toucanstep/node/Keys.h"
#include "toucanstep/peers/SingleReply.h"

namespace toucanstep::gateway::internal {

namespace {

constexpr base::Duration oneWayTimeout = std::chrono::seconds(2);
constexpr base::Duration chargeTimeout = std::chrono::milliseconds(500);
// A holder that did not answer is left out for this long, so that not every request waits for it.
constexpr base::Duration unreachableFor = std::chrono::milliseconds(700);

limits::ShareId shareOf(const assignments::Row& row)
{
    return { base::ClientAccountId(row.key.subject), static_cast<int>(row.key.slot) };
}

} // namespace

ShareLimitGate::ShareLimitGate(node::Node& node, node::AssignmentAgent& agent)
    : m_node(node)
    , m_agent(agent)
{
}

ShareLimitGate::~ShareLimitGate() = default;

void ShareLimitGate::install()
{
    m_node.addMethod(peers::Method(std::string(chargeMethod)), [this](const peers::IncomingCall& call, const std::shared_ptr<peers::PeerResponder>& responder) { onCharge(call, responder); });
    m_node.addMethod(peers::Method(std::string(handoverMethod)), [this](const peers::IncomingCall& call, const std::shared_ptr<peers::PeerResponder>& responder) { onHandover(call, responder); });
    m_agent.onRows([this](const node::AssignmentView& view) {
        m_node.traffic().post([this, view] { onRows(view); });
    });
}

std::vector<limits::BucketLimits> ShareLimitGate::slicesOf(const base::ClientAccountId& account) const
{
    auto known = m_limits.find(account);
    limits::BucketLimits whole = known == m_limits.end() ? limits::BucketLimits {} : known->second;
    return limits::splitLimits(whole, sharesPerAccount);
}

void ShareLimitGate::onConfiguration(const config::Configuration& configuration, base::Instant now)
{
    m_limits.clear();
    for (const config::ClientAccount& account : configuration.accounts) {
        m_limits[account.id] = { account.tokensPerSecond, account.burst };
        m_table.setLimits(account.id, m_limits[account.id], sharesPerAccount, now);
    }
}

void ShareLimitGate::onRows(const node::AssignmentView& view)
{
    base::Instant at = now();
    std::map<limits::ShareId, assignments::Row> rows;
    for (const assignments::Row& row : view.rows) {
        if (row.key.kind == assignments::RowKind::LimitShare)
            rows[shareOf(row)] = row;
    }
    std::set<limits::ShareId> own;
    for (const assignments::Row& row : view.own) {
        if (row.key.kind == assignments::RowKind::LimitShare)
            own.insert(shareOf(row));
    }
    for (const auto& [share, row] : m_rows) {
        if (m_table.holds(share) && !own.contains(share))
            m_table.release(share, at);
    }
    for (const limits::ShareId& share : own) {
        if (share.index < sharesPerAccount)
            m_table.take(share, rows[share].epoch, slicesOf(share.account)[static_cast<size_t>(share.index)], at);
    }
    m_rows = std::move(rows);
}

std::vector<limits::ShareView> ShareLimitGate::viewsOf(const base::ClientAccountId& account, base::Instant now)
{
    std::vector<limits::ShareView> views;
    std::vector<limits::BucketLimits> slices = slicesOf(account);
    std::vector<limits::ShareHint> own = m_table.hints(now);
    for (int index = 0; index < sharesPerAccount; ++index) {
        limits::ShareId share { account, index };
        limits::ShareView view;
        view.hint = { share, {}, {}, slices[static_cast<size_t>(index)] };
        view.observedAt = now;
        auto row = m_rows.find(share);
        if (row == m_rows.end()) {
            view.reachable = false;
            views.push_back(view);
            continue;
        }
        view.holder = row->second.holder.instance;
        if (auto known = m_hints.find(share); known != m_hints.end()) {
            view.hint = known->second.hint;
            view.observedAt = known->second.observedAt;
        }
        for (const limits::ShareHint& hint : own) {
            if (hint.share == share) {
                view.hint = hint;
                view.observedAt = now;
            }
        }
        view.hint.epoch = row->second.epoch;
        view.hint.limits = slices[static_cast<size_t>(index)];
        auto health = m_health.find(view.holder);
        view.reachable = health == m_health.end() || now >= health->second.unreachableUntil;
        views.push_back(view);
    }
    return views;
}

void ShareLimitGate::charge(const limits::AccountCharge& order, Callback callback)
{
    base::Instant at = now();
    limits::ChargeOptions options;
    options.self = m_agent.self().instance;
    auto charging = std::make_unique<Charging>(Charging { limits::ChargeCoordinator(options, order, viewsOf(order.account, at)), std::move(callback), order.account });
    Charging& added = *charging;
    m_charging.emplace(order.request, std::move(charging));
    advance(order.request, added.planner.start(at));
}

// Carries out what the planner asked for, and goes on until it waits for something or has decided.
void ShareLimitGate::advance(const base::RequestId& request, std::vector<limits::AddressedMessage> messages)
{
    carry(request, messages);
    auto found = m_charging.find(request);
    if (found == m_charging.end())
        return;
    Charging& charging = *found->second;
    if (charging.planner.outcome()) {
        finish(request);
        return;
    }
    m_node.traffic().cancel(charging.timer);
    charging.timer = 0;
    if (auto wakeUp = charging.planner.nextWakeUp()) {
        charging.timer = m_node.traffic().at(*wakeUp, [this, request] {
            auto waiting = m_charging.find(request);
            if (waiting == m_charging.end())
                return;
            waiting->second->timer = 0;
            advance(request, waiting->second->planner.onTick(now()));
        });
    }
}

void ShareLimitGate::carry(const base::RequestId& request, const std::vector<limits::AddressedMessage>& messages)
{
    for (const limits::AddressedMessage& message : messages)
        sendCharge(request, message);
}

void ShareLimitGate::sendCharge(const base::RequestId& request, const limits::AddressedMessage& message)
{
    bool wantsReply = std::holds_alternative<limits::ChargeRequest>(message.message);
    if (message.to == m_agent.self().instance) {
        auto reply = handleLocally(message.message);
        // Posted, so that the planner is never entered from inside itself.
        if (reply && wantsReply)
            m_node.traffic().post([this, request, reply = *reply] { onReply(request, reply); });
        return;
    }
    auto instances = m_node.instances();
    const node::InstanceRow* row = instances->find(message.to);
    if (!row)
        return;
    base::Duration timeout = wantsReply ? chargeTimeout : oneWayTimeout;
    auto listener = std::make_shared<peers::SingleReply>([this, request, holder = message.to, wantsReply](const base::Outcome<std::string>& outcome) {
        auto* body = std::get_if<std::string>(&outcome);
        onAnswered(holder, body != nullptr);
        if (!wantsReply || !body)
            return;
        base::Error error;
        if (auto reply = base::valueOr(error, [&] { return decodeChargeReply(*body); }))
            onReply(request, *reply);
    });
    m_node.peers().call({ row->peer, peers::Method(std::string(chargeMethod)), encode(message.message), now() + timeout }, listener);
}

void ShareLimitGate::onAnswered(const base::InstanceId& holder, bool answered)
{
    if (answered)
        m_health.erase(holder);
    else
        m_health[holder].unreachableUntil = now() + unreachableFor;
}

void ShareLimitGate::onReply(const base::RequestId& request, const limits::ChargeReply& reply)
{
    base::Instant at = now();
    m_hints[reply.hint.share] = { reply.hint, at };
    auto found = m_charging.find(request);
    if (found == m_charging.end()) {
        // Nobody waits for these tokens any more. A late grant is dropped and stays spent unless the planner, which is
        // gone, has already returned it by its id.
        return;
    }
    advance(request, found->second->planner.onReply(reply, at));
}

void ShareLimitGate::finish(const base::RequestId& request)
{
    auto found = m_charging.find(request);
    std::unique_ptr<Charging> charging = std::move(found->second);
    m_charging.erase(found);
    m_node.traffic().cancel(charging->timer);
    for (const limits::ShareView& view : charging->planner.shares()) {
        if (view.observedAt >= m_hints[view.hint.share].observedAt)
            m_hints[view.hint.share] = { view.hint, view.observedAt };
    }
    const limits::ChargeOutcome& outcome = *charging->planner.outcome();
    if (auto* admitted = std::get_if<limits::ChargeAdmitted>(&outcome)) {
        m_admitted[request] = admitted->parts;
        charging->callback(std::nullopt);
        return;
    }
    const auto& refused = std::get<limits::ChargeRefused>(outcome);
    if (refused.unreachableShares)
        m_node.metrics().count("toucanstep_refused_with_unreachable_shares_total");
    charging->callback(limitRefusal(refused.code, refused.retryAt));
}

void ShareLimitGate::settle(const base::RequestId& request, base::Tokens unused)
{
    auto found = m_admitted.find(request);
    if (found == m_admitted.end())
        return;
    std::vector<limits::ChargedPart> parts = std::move(found->second);
    m_admitted.erase(found);
    base::Tokens charged;
    for (const limits::ChargedPart& part : parts)
        charged += part.amount;
    carry(request, limits::returnUnused(parts, std::min(unused, charged)));
}

std::optional<limits::ChargeReply> ShareLimitGate::handleLocally(const limits::ChargeMessage& message)
{
    base::Instant at = now();
    if (auto* request = std::get_if<limits::ChargeRequest>(&message)) {
        // A holder that was paused, or is cut off from everyone, may have been replaced: it must not hand out tokens
        // that its successor hands out as well.
        if (!m_agent.mayUse(at))
            return limits::ChargeReply { request->charge, limits::ChargeResult::NotHolder, {}, {}, { request->share, request->epoch, {}, {} } };
        return m_table.onCharge(*request, at);
    }
    if (auto* unused = std::get_if<limits::ChargeReturn>(&message))
        m_table.onReturn(*unused, at);
    else if (auto* end = std::get_if<limits::GatherUnlock>(&message))
        m_table.onGatherUnlock(*end);
    return std::nullopt;
}

void ShareLimitGate::onCharge(const peers::IncomingCall& call, const std::shared_ptr<peers::PeerResponder>& responder)
{
    base::Error error;
    auto message = base::valueOr(error, [&] { return decodeChargeMessage(call.body); });
    if (!message) {
        responder->abort();
        return;
    }
    if (auto reply = handleLocally(*message))
        responder->send(encode(*reply));
    else
        responder->send({});
    responder->finish();
}

std::optional<limits::Handover> ShareLimitGate::release(const limits::ShareId& share)
{
    return m_table.release(share, now());
}

void ShareLimitGate::sendHandover(const base::InstanceId& to, const limits::Handover& handover)
{
    auto instances = m_node.instances();
    const node::InstanceRow* row = instances->find(to);
    if (!row)
        return;
    auto listener = std::make_shared<peers::SingleReply>([](const base::Outcome<std::string>&) {});
    m_node.peers().call({ row->peer, peers::Method(std::string(handoverMethod)), encode(handover), now() + oneWayTimeout }, listener);
}

void ShareLimitGate::onHandover(const peers::IncomingCall& call, const std::shared_ptr<peers::PeerResponder>& responder)
{
    base::Error error;
    auto handover = base::valueOr(error, [&] { return decodeHandover(call.body); });
    if (!handover) {
        responder->abort();
        return;
    }
    bool accepted = m_table.acceptHandover(*handover, now());
    base::LogLine("share_handover").add("from", call.from).add("account", handover->share.account).add("share", handover->share.index).add("accepted", accepted ? "yes" : "no");
    responder->send({});
    responder->finish();
}

} // namespace toucanstep::gateway::internal
