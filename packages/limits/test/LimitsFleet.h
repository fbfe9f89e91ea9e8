// Simulates three gateways with share tables, charge coordinators and a network controlled by the test: messages stay
// queued until they are delivered, dropped, duplicated or reordered, and time advances only on request.

#pragma once

#include "WindowOracle.h"
#include "toucanstep/base/Text.h"
#include "toucanstep/limits/ChargeCoordinator.h"
#include "toucanstep/limits/ShareTable.h"

#include <map>
#include <memory>

namespace toucanstep::limits {

// Deliberate bugs that the oracle must detect.
enum class FleetFault {
    None,
    TakeoverStartsFull,
    SourceKeepsItsBalance,
    LateRepliesAreUsed,
};

class LimitsFleet {
public:
    static constexpr int gatewayCount = 3;

    explicit LimitsFleet(BucketLimits limits, FleetFault fault = FleetFault::None)
        : m_limits(limits)
        , m_fault(fault)
    {
        m_byCharge.addLimits(m_now, limits);
        m_byAdmission.addLimits(m_now, limits);
        for (int index = 0; index < gatewayCount; ++index)
            takeOverShare(index, index);
        broadcastHints();
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
            for (auto& [request, running] : m_coordinators) {
                if (auto wakeUp = running.coordinator->nextWakeUp())
                    next = std::min(next, std::max(*wakeUp, m_now));
            }
            m_now = next;
            bool stepped = tickCoordinators();
            if (next == end && !stepped)
                return;
        }
    }

    int submit(int gateway, int64_t cost, base::Duration timeout = std::chrono::seconds(2), ChargeOptions options = {})
    {
        int request = m_nextRequest++;
        if (!m_gateways[gateway].up)
            return request;
        options.self = gatewayId(gateway);
        AccountCharge charge { base::RequestId(base::concat("r", request)), account(), base::Tokens(cost), m_now + timeout };
        Running running { gateway, std::make_unique<ChargeCoordinator>(options, charge, views(gateway)) };
        auto messages = running.coordinator->start(m_now);
        m_coordinators.emplace(request, std::move(running));
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

    void drop(size_t position) { m_network.erase(m_network.begin() + position); }
    void duplicate(size_t position) { m_network.push_back(Packet(m_network[position])); }

    // The response of an admitted request has ended and used only part of what was charged.
    void settle(size_t position, int64_t usedPerMille)
    {
        auto entry = m_inFlight.begin();
        std::advance(entry, position % m_inFlight.size());
        InFlight inFlight = std::move(entry->second);
        m_inFlight.erase(entry);
        int64_t cost = 0;
        for (auto& part : inFlight.parts)
            cost += part.amount.value();
        int64_t unused = cost - cost * usedPerMille / 1000;
        recordUse(inFlight, unused);
        enqueue(-1, inFlight.gateway, returnUnused(inFlight.parts, base::Tokens(unused)));
    }
    size_t inFlightCount() const { return m_inFlight.size(); }

    void settleRemainingInFull()
    {
        while (!m_inFlight.empty())
            settle(0, 1000);
    }

    // The process dies and loses its memory. Requests that it had admitted may keep running and are never settled.
    void crash(int gateway)
    {
        m_gateways[gateway].up = false;
        m_gateways[gateway].table = ShareTable();
        std::erase_if(m_coordinators, [&](const auto& item) { return item.second.gateway == gateway; });
        for (auto item = m_inFlight.begin(); item != m_inFlight.end();) {
            if (item->second.gateway == gateway) {
                recordUse(item->second, 0);
                item = m_inFlight.erase(item);
            } else {
                ++item;
            }
        }
    }

    // The process restarts on its instance and takes its own rows again in a new epoch.
    void restart(int gateway)
    {
        m_gateways[gateway].up = true;
        for (int share = 0; share < gatewayCount; ++share) {
            if (m_rows[share].gateway == gateway)
                takeOverShare(share, gateway);
        }
    }

    // The platform has removed the instance: another gateway takes over its rows.
    void replace(int gateway)
    {
        crash(gateway);
        for (int share = 0; share < gatewayCount; ++share) {
            if (m_rows[share].gateway == gateway)
                takeOverShare(share, (gateway + 1) % gatewayCount);
        }
        m_gateways[gateway].up = true;
    }

    void handOver(int share, int target)
    {
        int source = m_rows[share].gateway;
        if (source == target || !m_gateways[target].up)
            return;
        ShareTable before = m_gateways[source].table;
        std::optional<Handover> handover = m_gateways[source].table.release(shareId(share), m_now);
        takeOverShare(share, target, false);
        if (m_fault == FleetFault::SourceKeepsItsBalance)
            m_gateways[source].table = before;
        if (handover)
            m_network.push_back({ .to = target, .handover = handover });
    }

    void setLimits(BucketLimits limits)
    {
        m_limits = limits;
        m_byCharge.addLimits(m_now, limits);
        m_byAdmission.addLimits(m_now, limits);
        for (auto& gateway : m_gateways)
            gateway.table.setLimits(account(), limits, gatewayCount, m_now);
    }

    // Gives every gateway the current rows and balances, as hints on other messages would.
    void broadcastHints()
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
    struct ObservedHint {
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
        std::map<int, ObservedHint> hints;
        // The rows as last read by this gateway.
        Row rows[gatewayCount];
    };
    struct Running {
        int gateway = 0;
        std::unique_ptr<ChargeCoordinator> coordinator;
    };
    struct Packet {
        int from = 0;
        int to = 0;
        int request = -1;
        std::optional<ChargeMessage> message;
        std::optional<ChargeReply> reply;
        std::optional<Handover> handover;
    };
    struct InFlight {
        int gateway = 0;
        base::Instant admittedAt;
        std::vector<ChargedPart> parts;
    };

    static base::ClientAccountId account() { return base::ClientAccountId("farm"); }
    static base::InstanceId gatewayId(int gateway) { return base::InstanceId(base::concat(gateway)); }
    static ShareId shareId(int share) { return { account(), share }; }

    void takeOverShare(int share, int gateway, bool fromEmpty = true)
    {
        m_rows[share] = { gateway, m_rows[share].epoch + base::Epoch(1) };
        m_gateways[gateway].rows[share] = m_rows[share];
        BucketLimits slice = splitLimits(m_limits, gatewayCount)[share];
        m_gateways[gateway].table.take(shareId(share), m_rows[share].epoch, slice, m_now);
        if (m_fault == FleetFault::TakeoverStartsFull && fromEmpty)
            m_gateways[gateway].table.acceptHandover({ shareId(share), m_rows[share].epoch - base::Epoch(1), toNanoTokens(slice.burst) }, m_now);
    }

    std::vector<ShareView> views(int gateway)
    {
        std::vector<ShareView> views;
        auto slices = splitLimits(m_limits, gatewayCount);
        for (int share = 0; share < gatewayCount; ++share) {
            ObservedHint seen = m_gateways[gateway].hints[share];
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
        auto running = m_coordinators.find(packet.request);
        if (running == m_coordinators.end()) {
            useLateReply(packet);
            return;
        }
        enqueue(packet.request, packet.to, running->second.coordinator->onReply(reply, m_now));
        collect(packet.request);
    }

    // Simulates a gateway that admits a request on a reply to a charge that it had already abandoned and returned.
    void useLateReply(const Packet& packet)
    {
        if (m_fault != FleetFault::LateRepliesAreUsed || packet.reply->result != ChargeResult::Granted)
            return;
        const ChargeReply& reply = *packet.reply;
        ChargedPart part { gatewayId(packet.from), reply.charge, reply.hint.share, reply.hint.epoch, reply.granted };
        m_inFlight[m_nextInFlight++] = { packet.to, m_now, { part } };
    }

    bool tickCoordinators()
    {
        bool stepped = false;
        std::vector<int> due;
        for (auto& [request, running] : m_coordinators) {
            if (running.coordinator->nextWakeUp() && *running.coordinator->nextWakeUp() <= m_now)
                due.push_back(request);
        }
        for (int request : due) {
            Running& running = m_coordinators.at(request);
            enqueue(request, running.gateway, running.coordinator->onTick(m_now));
            collect(request);
            stepped = true;
        }
        return stepped;
    }

    void collect(int request)
    {
        Running& running = m_coordinators.at(request);
        if (!running.coordinator->outcome())
            return;
        m_outcomes.emplace(request, *running.coordinator->outcome());
        if (const auto* admitted = std::get_if<ChargeAdmitted>(&*running.coordinator->outcome())) {
            m_inFlight[m_nextInFlight++] = { running.gateway, m_now, admitted->parts };
            ++m_admittedCount;
        }
        m_coordinators.erase(request);
    }

    void recordUse(const InFlight& inFlight, int64_t unused)
    {
        int64_t total = 0;
        for (auto part = inFlight.parts.rbegin(); part != inFlight.parts.rend(); ++part) {
            int64_t back = std::min(unused, part->amount.value());
            unused -= back;
            int64_t net = part->amount.value() - back;
            total += net;
            m_byCharge.addUse(m_chargedAt.at({ part->charge, part->epoch, part->share.index }), net);
        }
        m_byAdmission.addUse(inFlight.admittedAt, total);
    }

    using ChargeKey = std::tuple<ChargeId, base::Epoch, int>;

    BucketLimits m_limits;
    FleetFault m_fault;
    base::Instant m_now { std::chrono::hours(1) };
    Gateway m_gateways[gatewayCount];
    Row m_rows[gatewayCount];
    std::map<int, Running> m_coordinators;
    std::map<int, InFlight> m_inFlight;
    std::map<int, ChargeOutcome> m_outcomes;
    std::vector<Packet> m_network;
    std::map<ChargeKey, base::Instant> m_chargedAt;
    WindowOracle m_byCharge;
    WindowOracle m_byAdmission;
    size_t m_admittedCount = 0;
    int m_nextRequest = 0;
    int m_nextInFlight = 0;
};

} // namespace toucanstep::limits
