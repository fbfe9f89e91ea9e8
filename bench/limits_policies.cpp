// Compares the ways to limit client accounts on the same arrivals, without network or threads.
//
// One exact bucket for the whole fleet is run on the same arrivals: what it lets in, the account is entitled to. For each
// policy and arrival pattern one JSON line says how many entitled requests were refused, less those that were let in beyond
// the entitled ones (for a flooding account the two choose differently). Usage: limits_policies [SEED]

#include "toucanstep/base/Text.h"
#include "toucanstep/limits/AdmissionPolicy.h"

#include <cstdlib>
#include <functional>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <queue>
#include <random>
#include <string>
#include <vector>

using namespace toucanstep::limits;
using std::chrono::milliseconds;
using std::chrono::seconds;
using toucanstep::base::ClientAccountId;
using toucanstep::base::Duration;
using toucanstep::base::Epoch;
using toucanstep::base::InstanceId;
using toucanstep::base::Instant;
using toucanstep::base::RequestId;
using toucanstep::base::Revision;
using toucanstep::base::Tokens;

namespace {

constexpr int gatewayCount = 3;
const ClientAccountId account("farm");
const BucketLimits limits { Tokens(2000), Tokens(6000) };
const Instant start { std::chrono::hours(1) };
constexpr Duration simulatedTime = seconds(600);
// The platform's service is down, and one gateway dead, in these spans where a pattern says so.
constexpr Duration outageFrom = seconds(200);
constexpr Duration outageUntil = seconds(260);

struct Pattern {
    std::string name;
    // Offered tokens over the account's rate.
    double load = 0.8;
    // Part of the requests that arrive at the first gateway; the rest is spread over the others.
    double skew = 1.0 / gatewayCount;
    // Requests that arrive at the same moment.
    int batch = 1;
    bool outage = false;
    bool death = false;
};

struct Arrival {
    Instant at;
    int gateway = 0;
    int64_t cost = 0;
    int64_t used = 0;
    Duration running {};
};

std::vector<Arrival> arrivalsOf(const Pattern& pattern, uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::uniform_int_distribution<int64_t> costs(50, 1000);
    std::uniform_real_distribution<double> part(0.0, 1.0);
    double batchesPerSecond = pattern.load * static_cast<double>(limits.tokensPerSecond.value()) / 525.0 / pattern.batch;
    std::exponential_distribution<double> gaps(batchesPerSecond);
    std::vector<Arrival> arrivals;
    double at = 0;
    while ((at += gaps(random)) < toucanstep::base::toSeconds(simulatedTime)) {
        for (int index = 0; index < pattern.batch; ++index) {
            Arrival arrival { .at = start + Duration(static_cast<int64_t>(at * 1e9)) };
            bool first = part(random) < pattern.skew;
            arrival.gateway = first ? 0 : 1 + static_cast<int>(random() % (gatewayCount - 1));
            arrival.cost = costs(random);
            arrival.used = static_cast<int64_t>(static_cast<double>(arrival.cost) * (0.2 + 0.8 * part(random)));
            arrival.running = Duration(static_cast<int64_t>(2e9 * part(random)));
            arrivals.push_back(arrival);
        }
    }
    return arrivals;
}

// What surrounds the gateways: which are up, whether the platform's service is, and how often it was called.
struct Surroundings {
    Instant now = start;
    bool serviceUp = true;
    bool up[gatewayCount] = { true, true, true };
    int64_t serviceCalls = 0;
    int64_t remoteMessages = 0;
};

// Share tables of all gateways; a charge to a dead one gets no reply. Each gateway knows only the hints of replies it got.
class Shares {
public:
    explicit Shares(Surroundings& surroundings)
        : m_surroundings(surroundings)
    {
        auto slices = splitLimits(limits, gatewayCount);
        for (int share = 0; share < gatewayCount; ++share) {
            m_tables[share].take({ account, share }, Epoch(1), slices[share], start);
            m_tables[share].acceptHandover({ { account, share }, Epoch(0), toNanoTokens(slices[share].burst) }, start);
            for (auto& hints : m_hints)
                hints[share] = { InstanceId(std::to_string(share)), { { account, share }, Epoch(1), toNanoTokens(slices[share].burst), slices[share] }, start };
        }
    }

    // The process of a dead gateway starts again, with an empty bucket.
    void restart(int gateway)
    {
        ++m_epoch;
        m_tables[gateway].take({ account, gateway }, Epoch(m_epoch), splitLimits(limits, gatewayCount)[gateway], m_surroundings.now);
        for (auto& hints : m_hints) {
            hints[gateway].hint.epoch = Epoch(m_epoch);
            hints[gateway].hint.balance = NanoTokens(0);
            hints[gateway].observedAt = m_surroundings.now;
        }
    }

    class Exchange final : public ChargeTransport {
    public:
        Exchange(Shares& shares, int self)
            : m_shares(shares)
            , m_self(self)
        {
        }
        std::optional<ChargeReply> charge(const InstanceId& to, const ChargeRequest& request) override
        {
            int holder = note(to);
            if (!m_shares.m_surroundings.up[holder])
                return std::nullopt;
            ChargeReply reply = m_shares.m_tables[holder].onCharge(request, m_shares.m_surroundings.now);
            ShareView& view = m_shares.m_hints[m_self][holder];
            view.hint = reply.hint;
            view.observedAt = m_shares.m_surroundings.now;
            return reply;
        }
        void send(const InstanceId& to, const ChargeMessage& message) override
        {
            int holder = note(to);
            if (!m_shares.m_surroundings.up[holder])
                return;
            if (const auto* back = std::get_if<ChargeReturn>(&message))
                m_shares.m_tables[holder].onReturn(*back, m_shares.m_surroundings.now);
            else if (const auto* end = std::get_if<GatherUnlock>(&message))
                m_shares.m_tables[holder].onGatherUnlock(*end);
        }
        std::vector<ShareView> shares(const ClientAccountId&, Instant) override
        {
            return { std::begin(m_shares.m_hints[m_self]), std::end(m_shares.m_hints[m_self]) };
        }

    private:
        int note(const InstanceId& to)
        {
            int holder = std::stoi(to.value());
            m_shares.m_surroundings.remoteMessages += holder != m_self ? 1 : 0;
            return holder;
        }

        Shares& m_shares;
        int m_self;
    };

private:
    Surroundings& m_surroundings;
    int64_t m_epoch = 1;
    ShareTable m_tables[gatewayCount];
    ShareView m_hints[gatewayCount][gatewayCount];
};

// The account's whole bucket in the service, from which leases of tokens are taken.
class ServiceBucket final : public LeaseAuthority {
public:
    explicit ServiceBucket(Surroundings& surroundings)
        : m_surroundings(surroundings)
        , m_bucket(limits, toNanoTokens(limits.burst), start)
    {
    }
    std::optional<Grant> acquire(const ClientAccountId&, Tokens wanted, Instant now) override
    {
        if (!m_surroundings.serviceUp)
            return std::nullopt;
        // A read and a compare-and-swap.
        m_surroundings.serviceCalls += 2;
        Tokens amount = std::min(wanted, wholeTokens(m_bucket.balanceAt(now)));
        m_bucket.take(amount, now);
        return Grant { amount, now + seconds(2) };
    }
    std::optional<Instant> availableAt(const ClientAccountId&, Tokens amount, Instant now) override { return m_bucket.availableAt(amount, now); }

private:
    Surroundings& m_surroundings;
    TokenBucket m_bucket;
};

class ServiceCounter final : public CounterStore {
public:
    explicit ServiceCounter(Surroundings& surroundings)
        : m_surroundings(surroundings)
        , m_value { Revision(1), toNanoTokens(limits.burst), start }
    {
    }
    std::optional<Value> read(const ClientAccountId&) override
    {
        ++m_surroundings.serviceCalls;
        return m_surroundings.serviceUp ? std::optional(m_value) : std::nullopt;
    }
    std::optional<bool> compareAndSwap(const ClientAccountId&, const Value& next) override
    {
        ++m_surroundings.serviceCalls;
        m_value = { next.revision + Revision(1), next.balance, next.updatedAt };
        return true;
    }

private:
    Surroundings& m_surroundings;
    Value m_value;
};

class Fleet {
public:
    Fleet(const std::string& policy, int64_t ownShareMargin)
        : m_shares(m_surroundings)
        , m_bucket(m_surroundings)
        , m_counter(m_surroundings)
    {
        for (int gateway = 0; gateway < gatewayCount; ++gateway) {
            m_exchanges.push_back(std::make_unique<Shares::Exchange>(m_shares, gateway));
            m_policies.push_back(make(policy, gateway, ownShareMargin));
            m_policies.back()->setLimits(account, limits, start);
        }
    }

    AdmissionPolicy& at(int gateway) { return *m_policies[gateway]; }
    Surroundings& surroundings() { return m_surroundings; }
    Shares& shares() { return m_shares; }

private:
    std::unique_ptr<AdmissionPolicy> make(const std::string& policy, int gateway, int64_t ownShareMargin)
    {
        if (policy == "static")
            return std::make_unique<StaticPolicy>(gateway, gatewayCount);
        if (policy == "lease")
            return std::make_unique<LeasePolicy>(m_bucket, 8);
        if (policy == "central")
            return std::make_unique<CentralPolicy>(m_counter, 5);
        ChargeOptions options { .ownShareMargin = ownShareMargin, .self = InstanceId(std::to_string(gateway)) };
        return std::make_unique<SharePolicy>(options, *m_exchanges[gateway]);
    }

    Surroundings m_surroundings;
    Shares m_shares;
    ServiceBucket m_bucket;
    ServiceCounter m_counter;
    std::vector<std::unique_ptr<Shares::Exchange>> m_exchanges;
    std::vector<std::unique_ptr<AdmissionPolicy>> m_policies;
};

class Comparison {
public:
    Comparison(const std::string& policy, const Pattern& pattern, int64_t ownShareMargin)
        : m_pattern(pattern)
        , m_fleet(policy, ownShareMargin)
        , m_exact(limits, start)
    {
        m_exact.addHandedOver(toNanoTokens(limits.burst), start);
    }

    nlohmann::json run(const std::vector<Arrival>& arrivals)
    {
        for (size_t index = 0; index < arrivals.size(); ++index) {
            settleUntil(arrivals[index].at);
            offer(arrivals[index], RequestId(toucanstep::base::concat(index)));
        }
        Surroundings& surroundings = m_fleet.surroundings();
        double seconds = toucanstep::base::toSeconds(simulatedTime);
        nlohmann::json result;
        int64_t wrong = std::max<int64_t>(0, m_entitledRefused - m_otherAdmitted);
        result["requests"] = arrivals.size();
        result["entitled"] = m_entitled;
        result["entitled_refused"] = m_entitledRefused;
        result["other_admitted"] = m_otherAdmitted;
        result["wrongful_refusals"] = static_cast<double>(wrong) / static_cast<double>(std::max<int64_t>(m_entitled, 1));
        result["tokens_of_entitled"] = static_cast<double>(m_usedTokens) / static_cast<double>(std::max<int64_t>(m_entitledTokens, 1));
        result["service_calls_per_s"] = static_cast<double>(surroundings.serviceCalls) / seconds;
        result["remote_messages_per_request"] = static_cast<double>(surroundings.remoteMessages) / static_cast<double>(arrivals.size());
        return result;
    }

private:
    struct Running {
        Instant endsAt;
        int gateway = 0;
        RequestId request;
        int64_t unused = 0;
        bool admitted = false;

        bool operator>(const Running& other) const { return endsAt > other.endsAt; }
    };

    // The first seconds only fill buckets that start empty.
    static constexpr Duration warmUp = std::chrono::seconds(10);

    void moveTo(Instant now)
    {
        Surroundings& surroundings = m_fleet.surroundings();
        surroundings.now = now;
        bool inOutage = now >= start + outageFrom && now < start + outageUntil;
        surroundings.serviceUp = !(m_pattern.outage && inOutage);
        bool wasUp = surroundings.up[gatewayCount - 1];
        surroundings.up[gatewayCount - 1] = !(m_pattern.death && inOutage);
        if (!wasUp && surroundings.up[gatewayCount - 1])
            m_fleet.shares().restart(gatewayCount - 1);
    }

    void settleUntil(Instant now)
    {
        while (!m_running.empty() && m_running.top().endsAt <= now) {
            Running ended = m_running.top();
            m_running.pop();
            moveTo(ended.endsAt);
            if (ended.admitted && m_fleet.surroundings().up[ended.gateway])
                m_fleet.at(ended.gateway).settle(ended.request, Tokens(ended.unused), ended.endsAt);
            m_exact.refund(ChargeId(ended.request.value()), Tokens(ended.unused), ended.endsAt);
        }
        moveTo(now);
    }

    void offer(const Arrival& arrival, const RequestId& request)
    {
        // The platform's balancer sends nothing to a dead gateway.
        int gateway = m_fleet.surroundings().up[arrival.gateway] ? arrival.gateway : 0;
        Tokens cost(arrival.cost);
        AccountCharge order { request, account, cost, arrival.at + seconds(5) };
        bool entitled = m_exact.charge(ChargeId(request.value()), cost, cost, arrival.at) == cost;
        bool admitted = m_fleet.at(gateway).admit(order, arrival.at).admitted;
        if (entitled || admitted)
            m_running.push({ arrival.at + arrival.running, gateway, request, arrival.cost - arrival.used, admitted });
        if (arrival.at < start + warmUp)
            return;
        m_entitled += entitled ? 1 : 0;
        m_entitledTokens += entitled ? arrival.used : 0;
        m_usedTokens += admitted ? arrival.used : 0;
        m_entitledRefused += entitled && !admitted ? 1 : 0;
        m_otherAdmitted += admitted && !entitled ? 1 : 0;
    }

    Pattern m_pattern;
    Fleet m_fleet;
    ShareHolder m_exact;
    std::priority_queue<Running, std::vector<Running>, std::greater<>> m_running;
    int64_t m_entitled = 0;
    int64_t m_entitledRefused = 0;
    int64_t m_otherAdmitted = 0;
    int64_t m_entitledTokens = 0;
    int64_t m_usedTokens = 0;
};

void print(const std::string& policy, int64_t ownShareMargin, const Pattern& pattern, uint64_t seed)
{
    nlohmann::json result = Comparison(policy, pattern, ownShareMargin).run(arrivalsOf(pattern, seed));
    result["policy"] = ownShareMargin ? toucanstep::base::concat(policy, "_own_margin_", ownShareMargin) : policy;
    result["pattern"] = pattern.name;
    result["seed"] = seed;
    std::cout << result.dump() << std::endl;
}

} // namespace

int main(int argc, char** argv)
{
    uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    const std::vector<Pattern> patterns {
        { .name = "even" },
        { .name = "skewed", .skew = 0.9 },
        { .name = "flood", .load = 5 },
        { .name = "batches", .batch = 8 },
        { .name = "outage", .outage = true },
        { .name = "outage_and_death", .outage = true, .death = true },
    };
    for (const Pattern& pattern : patterns) {
        print("shares", 0, pattern, seed);
        print("shares", 250, pattern, seed);
        print("static", 0, pattern, seed);
        print("lease", 0, pattern, seed);
        print("central", 0, pattern, seed);
    }
    return 0;
}
