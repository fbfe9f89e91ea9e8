#include "toucanstep/upstreams/TokenMemory.h"

#include <algorithm>

namespace toucanstep::upstreams {

int64_t TokenMemory::Loan::lent() const
{
    int64_t most = std::max(granted, held);
    for (const auto& [sequence, amount] : unheard)
        most = std::max(most, amount);
    return most;
}

TokenMemory::TokenMemory(TokenMemorySettings settings, const FleetShare& share, base::InstanceId self, int64_t start)
    : m_settings(settings)
    , m_share(share)
    , m_self(std::move(self))
    , m_start(start)
{
}

void TokenMemory::setCapacity(const base::UpstreamId& upstream, base::Tokens capacity)
{
    m_engines[upstream].capacity = capacity.value();
}

bool TokenMemory::fits(const base::UpstreamId& upstream, base::Tokens tokens) const
{
    auto found = m_engines.find(upstream);
    return found == m_engines.end() || !found->second.capacity || tokens.value() <= found->second.capacity;
}

base::Tokens TokenMemory::inUse(const base::UpstreamId& upstream) const
{
    auto found = m_engines.find(upstream);
    return base::Tokens(found == m_engines.end() ? 0 : found->second.own);
}

bool TokenMemory::isHeard(const base::InstanceId& peer, base::Instant now) const
{
    auto found = m_peers.find(peer);
    return found != m_peers.end() && now - found->second.lastHeard <= m_settings.peerSilence;
}

int64_t TokenMemory::ownRoom(const base::UpstreamId& upstream, const Engine& engine, base::Instant now) const
{
    int64_t room = m_share.part(upstream.value(), engine.capacity, now);
    for (const auto& [peer, loan] : engine.loans)
        room -= loan.lent();
    for (const Departed& departed : engine.departed)
        room -= departed.until > now ? departed.amount : 0;
    return room;
}

int64_t TokenMemory::borrowed(const Engine& engine, base::Instant now) const
{
    int64_t sum = 0;
    for (const auto& [peer, loan] : engine.loans)
        sum += isHeard(peer, now) ? loan.offered : 0;
    return sum;
}

bool TokenMemory::mayAdd(const base::UpstreamId& upstream, base::Tokens tokens, base::Instant now)
{
    auto found = m_engines.find(upstream);
    if (found == m_engines.end() || !found->second.capacity)
        return true;
    Engine& engine = found->second;
    // A gateway that has not settled has no place in the parts, and uses nobody's.
    int64_t room = m_share.isSettled(now) ? ownRoom(upstream, engine, now) + borrowed(engine, now) : 0;
    if (engine.own + tokens.value() <= room) {
        engine.want.reset();
        return true;
    }
    if (!engine.want || now - engine.want->last > m_settings.wantTime)
        engine.want = Want { 0, now, now };
    engine.want->amount = std::min(engine.own + tokens.value() - room, engine.capacity);
    engine.want->last = now;
    return false;
}

void TokenMemory::onAdded(const base::UpstreamId& upstream, base::Tokens tokens) { m_engines[upstream].own += tokens.value(); }

void TokenMemory::onEnded(const base::UpstreamId& upstream, base::Tokens tokens) { m_engines[upstream].own -= tokens.value(); }

void TokenMemory::updateGrants(const base::UpstreamId& upstream, Engine& engine, base::Instant now)
{
    std::erase_if(engine.departed, [&](const Departed& departed) { return departed.until <= now; });
    std::erase_if(engine.peerWants, [&](const auto& entry) { return now - entry.second.last > m_settings.wantTime; });
    if (engine.want && now - engine.want->last > m_settings.wantTime)
        engine.want.reset();
    // The longest wait first; the names decide between equal ones.
    std::vector<std::pair<base::Instant, base::InstanceId>> order;
    for (const auto& [peer, want] : engine.peerWants)
        order.emplace_back(want.since, peer);
    std::sort(order.begin(), order.end());
    bool anyLongWait = !order.empty() && now - order.front().first > m_settings.longWait;
    for (auto& [peer, loan] : engine.loans) {
        // Others get nothing further while a call that has waited for long is short.
        bool yields = anyLongWait && peer != order.front().second;
        if (engine.peerWants.contains(peer))
            loan.lastWanted = now;
        if (yields || now - loan.lastWanted > m_settings.wantTime || !isHeard(peer, now))
            loan.granted = 0;
    }
    int64_t spare = ownRoom(upstream, engine, now) - engine.own;
    // After a part has become smaller, nothing is confirmed that is not covered.
    for (auto& [peer, loan] : engine.loans) {
        if (spare < 0)
            loan.granted = 0;
    }
    for (const auto& [since, peer] : order) {
        const Want& want = engine.peerWants.at(peer);
        if (engine.want && engine.want->since < since)
            spare -= engine.want->amount;
        if (spare <= 0 || !isHeard(peer, now))
            break;
        // Several lenders answer the same want.
        auto lenders = static_cast<int64_t>(m_peers.size());
        int64_t amount = now - since > m_settings.longWait ? want.amount : 2 * want.amount / std::max<int64_t>(lenders, 1) + 1;
        Loan& loan = engine.loans[peer];
        int64_t before = loan.lent();
        loan.granted = std::max(loan.granted, std::min(loan.held + std::min(spare, amount), before + spare));
        spare -= loan.lent() - before;
        if (anyLongWait)
            break;
    }
}

void TokenMemory::updateHolds(const base::UpstreamId& upstream, Engine& engine, base::Instant now)
{
    int64_t excess = engine.own - std::max<int64_t>(ownRoom(upstream, engine, now), 0);
    for (auto& [peer, loan] : engine.loans) {
        if (!isHeard(peer, now))
            loan.offered = 0;
        excess -= loan.offered;
    }
    for (auto& [peer, loan] : engine.loans) {
        int64_t used = std::clamp<int64_t>(excess, 0, std::max<int64_t>(loan.holding - loan.offered, 0));
        loan.holding = loan.offered + used;
        excess -= used;
    }
}

void TokenMemory::append(const base::UpstreamId& upstream, Engine& engine, TokenReport& report, base::Instant now) const
{
    for (auto& [peer, loan] : engine.loans) {
        if (loan.granted) {
            report.grants.push_back({ upstream, peer, m_peers.at(peer).start, base::Tokens(loan.granted) });
            // The same grant again replaces nothing that an earlier report may have stated.
            if (!loan.unheard.empty() && loan.unheard.back().second == loan.granted)
                loan.unheard.back().first = report.sequence;
            else
                loan.unheard.emplace_back(report.sequence, loan.granted);
        }
        if (loan.holding)
            report.holds.push_back({ upstream, peer, base::Tokens(loan.holding) });
    }
    if (engine.want)
        report.wants.push_back({ upstream, base::Tokens(engine.want->amount), now - engine.want->since });
}

TokenReport TokenMemory::report(base::Instant now)
{
    TokenReport report { m_start, ++m_sequence, {}, {}, {}, {} };
    // Its grants ended when it was no longer heard, and so did its calls by now.
    std::erase_if(m_peers, [&](const auto& entry) {
        bool gone = now - entry.second.lastHeard > m_settings.departedRetention;
        for (auto& [upstream, engine] : m_engines) {
            if (gone)
                engine.loans.erase(entry.first);
        }
        return gone;
    });
    for (auto& [upstream, engine] : m_engines) {
        updateGrants(upstream, engine, now);
        updateHolds(upstream, engine, now);
        append(upstream, engine, report, now);
        std::erase_if(engine.loans, [](const auto& entry) { return entry.second.empty(); });
    }
    for (const auto& [id, peer] : m_peers)
        report.heard.push_back({ id, peer.start, peer.sequence });
    return report;
}

void TokenMemory::onNewStart(const base::InstanceId& peer, base::Instant now)
{
    for (auto& [upstream, engine] : m_engines) {
        auto loan = engine.loans.find(peer);
        if (loan == engine.loans.end())
            continue;
        if (int64_t lent = loan->second.lent())
            engine.departed.push_back({ lent, now + m_settings.departedRetention });
        engine.loans.erase(loan);
        engine.peerWants.erase(peer);
    }
}

void TokenMemory::onReport(const base::InstanceId& id, const TokenReport& report, base::Instant now)
{
    Peer& peer = m_peers[id];
    if (peer.start != report.start) {
        // A report of an earlier process that comes late.
        if (report.start < peer.start)
            return;
        onNewStart(id, now);
        peer = Peer { report.start, 0, now };
    }
    if (report.sequence <= peer.sequence)
        return;
    peer.sequence = report.sequence;
    peer.lastHeard = now;
    auto heard = std::find_if(report.heard.begin(), report.heard.end(), [&](const HeardGrants& each) { return each.lender == m_self && each.lenderStart == m_start; });
    for (auto& [upstream, engine] : m_engines) {
        engine.peerWants.erase(id);
        auto loan = engine.loans.find(id);
        if (loan == engine.loans.end())
            continue;
        loan->second.offered = 0;
        if (heard == report.heard.end())
            continue;
        loan->second.held = 0;
        std::erase_if(loan->second.unheard, [&](const auto& entry) { return entry.first <= heard->sequence; });
    }
    for (const TokenGrant& grant : report.grants) {
        if (grant.borrower != m_self || grant.borrowerStart != m_start)
            continue;
        Loan& loan = m_engines[grant.upstream].loans[id];
        loan.offered = std::max<int64_t>(grant.amount.value(), 0);
        // It may be used before the next report, even if it is withdrawn by then.
        loan.holding = std::max(loan.holding, loan.offered);
    }
    for (const TokenHold& hold : report.holds) {
        if (hold.lender == m_self && heard != report.heard.end())
            m_engines[hold.upstream].loans[id].held = std::max<int64_t>(hold.amount.value(), 0);
    }
    for (const TokenWant& want : report.wants)
        m_engines[want.upstream].peerWants[id] = { want.amount.value(), now - want.age, now };
}

} // namespace toucanstep::upstreams
