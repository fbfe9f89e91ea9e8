// Three gateways with share tables, planners and a network that a test orders about: messages wait until they are
// delivered, lost, copied or overtaken, and time moves only when the test says so.

#pragma once

#include "WindowOracle.h"
#include "toucanstep/base/Text.h"
#include "toucanstep/limits/ChargeCoordinator.h"
#include "toucanstep/limits/ShareTable.h"

#include <map>
#include <memory>

namespace toucanstep::limits {

// Deliberate bugs, to show that the oracle sees them.
enum class FleetFault {
    None,
    TakeOverStartsFull,
    GiverKeepsItsStock,
    LateAnswersAreUsed,
};

class LimitsFleet {
public:
    static constexpr int gatewayCount = 3;

    explicit LimitsFleet(BucketLimits limits, FleetFault fault = FleetFault::None)
        : m_limits(limits)
        , m_fault(fault)
    {
        m_byCharge.limitsFrom(m_now, limits);
        m_byAdmission.limitsFrom(m_now, limits);
        for (int index = 0; index < gatewayCount; ++index)
            takeOver(index, index);
        spreadHints();
    }

    base::Instant now() const { return m_now; }
    const WindowOracle& usesByCharge() const { return m_byCharge; }
    const WindowOracle& usesByAdmission() const { return m_byAdmission; }
    size_t pendingMessages() const { return m_network.size(); }
    size_t admittedCount() const { return m_admittedCount; }
    const std::map<int, ChargeOutcome>& outcomes() const { return m_outcomes; }

    void advance(base::Duration step)
    {
        base::Instant end = m_now + step;
        while (true) {
            base::Instant next = end;
            for (auto& [request, running] : m_planners) {
                if (auto wakeUp = running.planner->nextWakeUp())
                    next = std::min(next, std::max(*wakeUp, m_now));
            }
            m_now = next;
            bool stepped = tickPlanners();
            if (next == end && !stepped)
                return;
        }
    }

    int offer(int gateway, int64_t cost, base::Duration timeout = std::chrono::seconds(2), ChargeOptions options = {})
    {
        int request = m_nextRequest++;
        if (!m_gateways[gateway].up)
            return request;
        options.self = gatewayId(gateway);
        AccountCharge order { base::RequestId(base::concat("r", request)), account(), base::Tokens(cost), m_now + timeout };
        Running running { gateway, std::make_unique<ChargeCoordinator>(options, order, views(gateway)) };
        auto messages = running.planner->start(m_now);
        m_planners.emplace(request, std::move(running));
        enqueue(request, gateway, std::move(messages));
        collect(request);
        return request;
    }

    void deliver(size_t position)
    {
        Packet packet = m_network[position];
        m_network.erase(m_network.begin() + position);
        if (packet.reply)
            deliverReply(packet);
        else
            deliverToHolder(packet);
    }

    void deliverAll()
    {
        while (!m_network.empty())
            deliver(0);
    }

    void lose(size_t position) { m_network.erase(m_network.begin() + position); }
    void duplicate(size_t position) { m_network.push_back(Packet(m_network[position])); }

    // The answer of an admitted request has ended, and used only a part of what was charged.
    void settle(size_t position, int64_t usedPerMille)
    {
        auto entry = m_open.begin();
        std::advance(entry, position % m_open.size());
        Open open = std::move(entry->second);
        m_open.erase(entry);
        int64_t cost = 0;
        for (auto& part : open.parts)
            cost += part.amount.value();
        int64_t unused = cost - cost * usedPerMille / 1000;
        recordUse(open, unused);
        enqueue(-1, open.gateway, returnUnused(open.parts, base::Tokens(unused)));
    }
    size_t openCount() const { return m_open.size(); }

    void settleRestInFull()
    {
        while (!m_open.empty())
            settle(0, 1000);
    }

    // The process dies, with all that it held in memory. What it had admitted may run on and is never settled.
    void crash(int gateway)
    {
        m_gateways[gateway].up = false;
        m_gateways[gateway].table = ShareTable();
        std::erase_if(m_planners, [&](const auto& item) { return item.second.gateway == gateway; });
        for (auto item = m_open.begin(); item != m_open.end();) {
            if (item->second.gateway == gateway) {
                recordUse(item->second, 0);
                item = m_open.erase(item);
            } else {
                ++item;
            }
        }
    }

    // The process starts again on its instance and takes its own rows again.
    void restart(int gateway)
    {
        m_gateways[gateway].up = true;
        for (int share = 0; share < gatewayCount; ++share) {
            if (m_rows[share].gateway == gateway)
                takeOver(share, gateway);
        }
    }

    // The platform has dropped the instance: others take its rows.
    void replace(int gateway)
    {
        crash(gateway);
        for (int share = 0; share < gatewayCount; ++share) {
            if (m_rows[share].gateway == gateway)
                takeOver(share, (gateway + 1) % gatewayCount);
        }
        m_gateways[gateway].up = true;
    }

    void handOver(int share, int taker)
    {
        int giver = m_rows[share].gateway;
        if (giver == taker || !m_gateways[taker].up)
            return;
        ShareTable before = m_gateways[giver].table;
        std::optional<Handover> handover = m_gateways[giver].table.release(shareId(share), m_now);
        takeOver(share, taker, false);
        if (m_fault == FleetFault::GiverKeepsItsStock)
            m_gateways[giver].table = before;
        if (handover)
            m_network.push_back({ .to = taker, .handover = handover });
    }

    void setLimits(BucketLimits limits)
    {
        m_limits = limits;
        m_byCharge.limitsFrom(m_now, limits);
        m_byAdmission.limitsFrom(m_now, limits);
        for (auto& gateway : m_gateways)
            gateway.table.setLimits(account(), limits, gatewayCount, m_now);
    }

    // Tells every gateway the present rows and stocks, as hints on other messages would.
    void spreadHints()
    {
        for (auto& holder : m_gateways) {
            for (auto& hint : holder.table.hints(m_now)) {
                for (auto& reader : m_gateways)
                    reader.hints[hint.share.index] = { hint, m_now };
            }
        }
        for (auto& reader : m_gateways)
            std::copy(std::begin(m_rows), std::end(m_rows), std::begin(reader.rows));
    }

private:
    struct HintSeen {
        ShareHint hint;
        base::Instant at;
    };
    struct Row {
        int gateway = 0;
        base::Epoch epoch;
    };
    struct Gateway {
        bool up = true;
        ShareTable table;
        std::map<int, HintSeen> hints;
        // The rows as this gateway last read them.
        Row rows[gatewayCount];
    };
    struct Running {
        int gateway = 0;
        std::unique_ptr<ChargeCoordinator> planner;
    };
    struct Packet {
        int from = 0;
        int to = 0;
        int request = -1;
        std::optional<ChargeMessage> message;
        std::optional<ChargeReply> reply;
        std::optional<Handover> handover;
    };
    struct Open {
        int gateway = 0;
        base::Instant admittedAt;
        std::vector<ChargedPart> parts;
    };

    static base::ClientAccountId account() { return base::ClientAccountId("farm"); }
    static base::InstanceId gatewayId(int gateway) { return base::InstanceId(base::concat(gateway)); }
    static ShareId shareId(int share) { return { account(), share }; }

    void takeOver(int share, int gateway, bool fromEmpty = true)
    {
        m_rows[share] = { gateway, m_rows[share].epoch + base::Epoch(1) };
        m_gateways[gateway].rows[share] = m_rows[share];
        BucketLimits slice = splitLimits(m_limits, gatewayCount)[share];
        m_gateways[gateway].table.take(shareId(share), m_rows[share].epoch, slice, m_now);
        if (m_fault == FleetFault::TakeOverStartsFull && fromEmpty)
            m_gateways[gateway].table.acceptHandover({ shareId(share), m_rows[share].epoch - base::Epoch(1), toNanoTokens(slice.burst) }, m_now);
    }

    std::vector<ShareView> views(int gateway)
    {
        std::vector<ShareView> views;
        auto slices = splitLimits(m_limits, gatewayCount);
        for (int share = 0; share < gatewayCount; ++share) {
            HintSeen seen = m_gateways[gateway].hints[share];
            Row row = m_gateways[gateway].rows[share];
            ShareHint hint { shareId(share), row.epoch, seen.hint.balance, slices[share] };
            views.push_back({ gatewayId(row.gateway), hint, seen.at });
        }
        return views;
    }

    void enqueue(int request, int from, std::vector<AddressedMessage> messages)
    {
        for (auto& message : messages)
            m_network.push_back({ .from = from, .to = std::stoi(message.to.value()), .request = request, .message = message.message });
    }

    void deliverToHolder(const Packet& packet)
    {
        Gateway& holder = m_gateways[packet.to];
        if (!holder.up)
            return;
        if (packet.handover) {
            holder.table.acceptHandover(*packet.handover, m_now);
            return;
        }
        if (const auto* charge = std::get_if<ChargeRequest>(&*packet.message)) {
            ChargeReply reply = holder.table.onCharge(*charge, m_now);
            if (reply.result == ChargeResult::Granted)
                m_chargedAt.try_emplace({ charge->charge, charge->epoch, charge->share.index }, m_now);
            m_network.push_back({ .from = packet.to, .to = packet.from, .request = packet.request, .reply = reply });
        } else if (const auto* back = std::get_if<ChargeReturn>(&*packet.message)) {
            holder.table.onReturn(*back, m_now);
        } else {
            holder.table.onGatherUnlock(std::get<GatherUnlock>(*packet.message));
        }
    }

    void deliverReply(const Packet& packet)
    {
        const ChargeReply& reply = *packet.reply;
        if (reply.result != ChargeResult::NotHolder)
            m_gateways[packet.to].hints[reply.hint.share.index] = { reply.hint, m_now };
        auto running = m_planners.find(packet.request);
        if (running == m_planners.end()) {
            useLateAnswer(packet);
            return;
        }
        enqueue(packet.request, packet.to, running->second.planner->onReply(reply, m_now));
        collect(packet.request);
    }

    // The bug of a gateway that runs a request on an answer that it had given up, and returned, before.
    void useLateAnswer(const Packet& packet)
    {
        if (m_fault != FleetFault::LateAnswersAreUsed || packet.reply->result != ChargeResult::Granted)
            return;
        const ChargeReply& reply = *packet.reply;
        ChargedPart part { gatewayId(packet.from), reply.charge, reply.hint.share, reply.hint.epoch, reply.granted };
        m_open[m_nextOpen++] = { packet.to, m_now, { part } };
    }

    bool tickPlanners()
    {
        bool stepped = false;
        std::vector<int> due;
        for (auto& [request, running] : m_planners) {
            if (running.planner->nextWakeUp() && *running.planner->nextWakeUp() <= m_now)
                due.push_back(request);
        }
        for (int request : due) {
            Running& running = m_planners.at(request);
            enqueue(request, running.gateway, running.planner->onTick(m_now));
            collect(request);
            stepped = true;
        }
        return stepped;
    }

    void collect(int request)
    {
        Running& running = m_planners.at(request);
        if (!running.planner->outcome())
            return;
        m_outcomes.emplace(request, *running.planner->outcome());
        if (const auto* admitted = std::get_if<ChargeAdmitted>(&*running.planner->outcome())) {
            m_open[m_nextOpen++] = { running.gateway, m_now, admitted->parts };
            ++m_admittedCount;
        }
        m_planners.erase(request);
    }

    void recordUse(const Open& open, int64_t unused)
    {
        int64_t total = 0;
        for (auto part = open.parts.rbegin(); part != open.parts.rend(); ++part) {
            int64_t back = std::min(unused, part->amount.value());
            unused -= back;
            int64_t net = part->amount.value() - back;
            total += net;
            m_byCharge.used(m_chargedAt.at({ part->charge, part->epoch, part->share.index }), net);
        }
        m_byAdmission.used(open.admittedAt, total);
    }

    using ChargeKey = std::tuple<ChargeId, base::Epoch, int>;

    BucketLimits m_limits;
    FleetFault m_fault;
    base::Instant m_now { std::chrono::hours(1) };
    Gateway m_gateways[gatewayCount];
    Row m_rows[gatewayCount];
    std::map<int, Running> m_planners;
    std::map<int, Open> m_open;
    std::map<int, ChargeOutcome> m_outcomes;
    std::vector<Packet> m_network;
    std::map<ChargeKey, base::Instant> m_chargedAt;
    WindowOracle m_byCharge;
    WindowOracle m_byAdmission;
    size_t m_admittedCount = 0;
    int m_nextRequest = 0;
    int m_nextOpen = 0;
};

} // namespace toucanstep::limits
