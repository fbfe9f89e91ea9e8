#include "toucanstep/direct/FleetReports.h"

#include "toucanstep/base/MessagePack.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace toucanstep::direct {

namespace {

using Json = nlohmann::json;

// Nesting: report, planner state, list of entries, entry, value.
constexpr int reportDepth = 6;

enum class ReportKind {
    Load = 1,
    Demand = 2,
    Plan = 3,
    LoadChange = 4,
    DemandChange = 5,
    PlanChange = 6,
    UpstreamList = 7,
    Relayed = 8,
};

constexpr double perKilosecond = 1000;
// Keeps sums over all gateways within range.
constexpr int64_t largestCount = 1'000'000'000;

int64_t inMilliseconds(base::Duration duration) { return base::toMilliseconds(duration); }

Json encodeHeader(ReportKind kind, const ReportSender& sender)
{
    Json header = Json::array({ static_cast<int>(kind), sender.instance.value(), sender.incarnation.value(), sender.sequence });
    if (sender.relays)
        header.push_back(true);
    return header;
}

// In calls per thousand seconds; no limit is a negative number.
int64_t encodeLimit(const std::optional<double>& limit)
{
    return limit ? static_cast<int64_t>(std::min(*limit * perKilosecond, static_cast<double>(largestCount))) : -1;
}

// Each with its request and its parts.
Json encodeTraits(const std::vector<CrashSuspect>& suspects)
{
    Json list = Json::array();
    for (const auto& suspect : suspects) {
        Json entry = Json::array({ suspect.traits.request.value() });
        for (const auto& part : suspect.traits.parts)
            entry.push_back(part.value());
        list.push_back(std::move(entry));
    }
    return list;
}

// In the same order; an unknown time is a negative number.
Json encodeInFlight(const std::vector<CrashSuspect>& suspects)
{
    Json list = Json::array();
    for (const auto& suspect : suspects)
        list.push_back(suspect.inFlight ? inMilliseconds(*suspect.inFlight) : -1);
    return list;
}

// Without calls that wait, the report is the same as without this entry. Of more accounts than these, the other gateways count the
// calls as those of one account.
Json encodeWaitingAccounts(const LoadReport& report)
{
    constexpr size_t maxEntries = 48;
    Json calls = Json::array();
    for (const auto& [queue, priorities] : report.queuedAccounts) {
        for (const auto& [priority, accounts] : priorities) {
            for (const auto& [account, count] : accounts) {
                if (calls.size() < maxEntries)
                    calls.push_back({ queue.service.value(), queue.model.value(), priority, account.value(), count });
            }
        }
    }
    Json tokens = Json::array();
    for (const auto& [account, waiting] : report.waitingTokens) {
        if (tokens.size() < maxEntries)
            tokens.push_back({ account.value(), waiting.value() });
    }
    return Json::array({ calls, tokens });
}

// Absent while all claims to shares of the limits are settled.
Json encodeClaims(const LimitReport& limits)
{
    Json acknowledged = Json::array();
    for (const auto& peer : limits.acknowledged)
        acknowledged.push_back(peer.value());
    return Json::array({ limits.joining, acknowledged, limits.share });
}

Json encode(const LoadReport& report)
{
    Json directories = Json::array();
    for (const auto& revision : report.directories)
        directories.push_back(revision.value());
    Json use = Json::array();
    for (const auto& entry : report.use)
        use.push_back({ entry.upstream.value(), entry.load.inFlight, entry.load.awaiting });
    Json charges = Json::array();
    for (const auto& charge : report.limits.charges)
        charges.push_back({ charge.account.value(), charge.total.value() });
    // Earlier builds expect a list of requests that have crashed upstreams here.
    Json strikes = Json::array();
    Json silentPeers = Json::array();
    for (const auto& peer : report.limits.silentPeers)
        silentPeers.push_back(peer.value());
    Json balances = Json::array();
    for (const auto& known : report.limits.balances)
        balances.push_back({ known.account.value(), known.balance.value() });
    Json queued = Json::array();
    for (const auto& [queue, priorities] : report.queued) {
        for (const auto& [priority, calls] : priorities)
            queued.push_back({ queue.service.value(), queue.model.value(), priority, calls.inTime, calls.late });
    }
    Json callLimits = Json::array();
    for (const auto& heard : report.callLimits)
        callLimits.push_back({ heard.upstream.value(), heard.start.value(), encodeLimit(heard.limit), inMilliseconds(heard.age) });
    Json availability = Json::array();
    for (const auto& heard : report.availability)
        availability.push_back({ heard.upstream.value(), heard.start.value(), heard.leaving, inMilliseconds(heard.pauseLeft) });
    Json crashes = Json::array();
    for (const auto& crash : report.crashes.crashes)
        crashes.push_back({ crash.crash.value(), inMilliseconds(crash.age), encodeTraits(crash.suspects), encodeInFlight(crash.suspects) });
    Json cleared = Json::array();
    for (const auto& trait : report.crashes.cleared)
        cleared.push_back(trait.value());
    Json refusals = Json::array();
    for (const auto& refusal : report.crashes.refusals)
        refusals.push_back({ refusal.trait.value(), inMilliseconds(refusal.remaining) });
    Json partRequests = Json::array();
    for (const auto& request : report.partRequests)
        partRequests.push_back({ request.resource, request.sentAt.count() });
    Json partLoans = Json::array();
    for (const auto& loan : report.partLoans)
        partLoans.push_back({ loan.resource, loan.borrower.value(), loan.sentAt.count(), loan.rank, loan.count });
    Json message = Json::array({ encodeHeader(report.complete ? ReportKind::Load : ReportKind::LoadChange, report.sender), report.configuration.value(), directories, report.leaving, use, charges, strikes, silentPeers, report.limits.liveSetDigest, balances, queued, report.domain.value(), report.limits.silentPeersLeftOut, callLimits, availability, crashes, cleared, refusals, partRequests, partLoans });
    bool tellsOfClaims = report.limits.joining || report.limits.share < 1 || !report.limits.acknowledged.empty();
    if (tellsOfClaims || !report.queuedAccounts.empty() || !report.waitingTokens.empty())
        message.push_back(encodeWaitingAccounts(report));
    if (tellsOfClaims)
        message.push_back(encodeClaims(report.limits));
    return message;
}

Json encodeState(const PlannerState& state)
{
    Json orders = Json::array();
    for (const auto& order : state.orders)
        orders.push_back({ order.upstream.value(), order.start.value(), order.kind == OrderKind::Load, order.model.value(), order.fromWeightStore, inMilliseconds(order.expected), inMilliseconds(order.age) });
    return Json::array({ orders, state.maxStoreLoads });
}

Json encode(const DemandReport& report)
{
    Json demand = Json::array();
    for (const auto& entry : report.demand)
        demand.push_back({ entry.target.model.value(), entry.target.adapter.value(), entry.waiting, entry.running, entry.arrivalsPerKilosecond, entry.awaitingThousandths });
    Json value = Json::array({ encodeHeader(report.complete ? ReportKind::Demand : ReportKind::DemandChange, report.sender), demand });
    if (report.handover) {
        value.push_back(report.handover->fence.value());
        value.push_back(encodeState(report.handover->state));
    }
    return value;
}

Json encode(const PlanReport& report)
{
    Json notices = Json::array();
    for (const auto& notice : report.notices)
        notices.push_back({ notice.upstream.value(), notice.start.value(), notice.target.model.value(), notice.target.adapter.value(), notice.loaded });
    Json expected = Json::array();
    for (const auto& load : report.expected)
        expected.push_back({ load.target.model.value(), load.target.adapter.value(), inMilliseconds(load.in) });
    return Json::array({ encodeHeader(report.complete ? ReportKind::Plan : ReportKind::PlanChange, report.sender), report.fence.value(), notices, expected, encodeState(report.state) });
}

Json encode(const UpstreamListReport& report)
{
    return Json::array({ encodeHeader(ReportKind::UpstreamList, report.sender), report.revision.value(), report.lastChange.value() });
}

Json encode(const RelayedReports& report)
{
    return Json::array({ encodeHeader(ReportKind::Relayed, report.sender), report.handOn, report.reports });
}

// The JSON library throws on values of another type, which decodeReport() turns into an empty result. However, it converts
// floating-point numbers to integers silently, which is undefined behavior for values out of range.
int64_t asInteger(const Json& value)
{
    if (!value.is_number_integer())
        throw std::invalid_argument("not an integer");
    return value.get<int64_t>();
}

base::Duration asDuration(const Json& value)
{
    // Reported durations never exceed a day; much larger values would overflow in nanoseconds.
    constexpr int64_t longest = 24 * 3600 * 1000;
    int64_t milliseconds = asInteger(value);
    if (milliseconds < 0 || milliseconds > longest)
        throw std::invalid_argument("duration out of range");
    return std::chrono::milliseconds(milliseconds);
}

// In nanoseconds, by the clock of the gateway that compares it.
base::Duration asClockTime(const Json& value)
{
    // Leaves room for sums.
    constexpr int64_t latest = std::numeric_limits<int64_t>::max() / 2;
    int64_t time = asInteger(value);
    if (time < 0 || time > latest)
        throw std::invalid_argument("time out of range");
    return base::Duration(time);
}

int64_t asCount(const Json& value)
{
    int64_t count = asInteger(value);
    if (count < 0 || count > largestCount)
        throw std::invalid_argument("count out of range");
    return count;
}

double asShare(const Json& value)
{
    auto share = value.get<double>();
    if (!(share >= 0 && share <= 1))
        throw std::invalid_argument("not a share");
    return share;
}

std::optional<double> asLimit(const Json& value)
{
    int64_t limit = asInteger(value);
    return limit < 0 ? std::nullopt : std::optional(static_cast<double>(asCount(value)) / perKilosecond);
}

template <typename Strong>
Strong asNumber(const Json& value) { return Strong(asInteger(value)); }
template <typename Strong>
Strong asText(const Json& value) { return Strong(value.get<std::string>()); }

ModelTarget asTarget(const Json& model, const Json& adapter)
{
    return { asText<base::ModelId>(model), asText<AdapterId>(adapter) };
}

CrashReport decodeCrash(const Json& value)
{
    CrashReport crash { asText<routing::CrashId>(value.at(0)), asDuration(value.at(1)), {} };
    for (const Json& entry : value.at(2)) {
        CrashSuspect suspect { { asNumber<CallTrait>(entry.at(0)), {} }, {} };
        for (size_t index = 1; index < entry.size(); ++index)
            suspect.traits.parts.push_back(asNumber<CallTrait>(entry.at(index)));
        crash.suspects.push_back(std::move(suspect));
    }
    // Earlier builds do not send it.
    constexpr size_t inFlightIndex = 3;
    if (value.size() <= inFlightIndex)
        return crash;
    const Json& inFlight = value.at(inFlightIndex);
    for (size_t index = 0; index < crash.suspects.size(); ++index) {
        if (asInteger(inFlight.at(index)) >= 0)
            crash.suspects[index].inFlight = asDuration(inFlight.at(index));
    }
    return crash;
}

CrashNews decodeCrashNews(const Json& crashes, const Json& cleared, const Json& refusals)
{
    CrashNews news;
    for (const Json& crash : crashes)
        news.crashes.push_back(decodeCrash(crash));
    for (const Json& trait : cleared)
        news.cleared.push_back(asNumber<CallTrait>(trait));
    for (const Json& refusal : refusals)
        news.refusals.push_back({ asNumber<CallTrait>(refusal.at(0)), asDuration(refusal.at(1)) });
    return news;
}

LoadReport decodeLoad(const Json& value, ReportSender sender)
{
    LoadReport report { std::move(sender), asNumber<ConfigurationVersion>(value.at(1)), {}, value.at(3).get<bool>(), {}, {} };
    report.limits.incarnation = report.sender.incarnation;
    for (const Json& revision : value.at(2))
        report.directories.push_back(asNumber<base::Revision>(revision));
    for (const Json& entry : value.at(4))
        report.use.push_back({ asText<base::UpstreamId>(entry.at(0)), { asInteger(entry.at(1)), asInteger(entry.at(2)) } });
    for (const Json& entry : value.at(5))
        report.limits.charges.push_back({ asText<base::ClientAccountId>(entry.at(0)), asNumber<base::Tokens>(entry.at(1)) });
    for (const Json& entry : value.at(7))
        report.limits.silentPeers.push_back(asText<base::InstanceId>(entry));
    report.limits.liveSetDigest = asInteger(value.at(8));
    for (const Json& entry : value.at(9))
        report.limits.balances.push_back({ asText<base::ClientAccountId>(entry.at(0)), asNumber<base::Tokens>(entry.at(1)) });
    constexpr size_t queuedIndex = 10;
    if (value.size() <= queuedIndex)
        return report;
    constexpr size_t domainIndex = 11;
    if (value.size() > domainIndex)
        report.domain = asText<base::FailureDomain>(value.at(domainIndex));
    constexpr size_t leftOutIndex = 12;
    if (value.size() > leftOutIndex)
        report.limits.silentPeersLeftOut = value.at(leftOutIndex).get<bool>();
    constexpr size_t callLimitsIndex = 13;
    if (value.size() > callLimitsIndex) {
        for (const Json& entry : value.at(callLimitsIndex))
            report.callLimits.push_back({ asText<base::UpstreamId>(entry.at(0)), asNumber<StartId>(entry.at(1)), asLimit(entry.at(2)), asDuration(entry.at(3)) });
    }
    constexpr size_t availabilityIndex = 14;
    if (value.size() > availabilityIndex) {
        for (const Json& entry : value.at(availabilityIndex))
            report.availability.push_back({ asText<base::UpstreamId>(entry.at(0)), asNumber<StartId>(entry.at(1)), entry.at(2).get<bool>(), asDuration(entry.at(3)) });
    }
    constexpr size_t crashesIndex = 15;
    if (value.size() > crashesIndex)
        report.crashes = decodeCrashNews(value.at(crashesIndex), value.at(crashesIndex + 1), value.at(crashesIndex + 2));
    constexpr size_t partRequestsIndex = 18;
    if (value.size() > partRequestsIndex) {
        for (const Json& entry : value.at(partRequestsIndex))
            report.partRequests.push_back({ entry.at(0).get<std::string>(), asClockTime(entry.at(1)) });
        for (const Json& entry : value.at(partRequestsIndex + 1))
            report.partLoans.push_back({ entry.at(0).get<std::string>(), asText<base::InstanceId>(entry.at(1)), asClockTime(entry.at(2)), asCount(entry.at(3)), asCount(entry.at(4)) });
    }
    constexpr size_t waitingAccountsIndex = 20;
    if (value.size() > waitingAccountsIndex) {
        for (const Json& entry : value.at(waitingAccountsIndex).at(0))
            report.queuedAccounts[{ asText<base::ServiceId>(entry.at(0)), asText<base::ModelId>(entry.at(1)) }][asInteger(entry.at(2))][asText<base::ClientAccountId>(entry.at(3))] = asCount(entry.at(4));
        for (const Json& entry : value.at(waitingAccountsIndex).at(1))
            report.waitingTokens[asText<base::ClientAccountId>(entry.at(0))] = asNumber<base::Tokens>(entry.at(1));
    }
    constexpr size_t claimsIndex = 21;
    if (value.size() > claimsIndex) {
        report.limits.joining = value.at(claimsIndex).at(0).get<bool>();
        for (const Json& entry : value.at(claimsIndex).at(1))
            report.limits.acknowledged.push_back(asText<base::InstanceId>(entry));
        report.limits.share = asShare(value.at(claimsIndex).at(2));
    }
    for (const Json& entry : value.at(queuedIndex))
        report.queued[{ asText<base::ServiceId>(entry.at(0)), asText<base::ModelId>(entry.at(1)) }][asInteger(entry.at(2))] = { asCount(entry.at(3)), asCount(entry.at(4)) };
    return report;
}

PlannerState decodeState(const Json& value)
{
    PlannerState state;
    for (const Json& entry : value.at(0)) {
        ExecutingOrder order { asText<base::UpstreamId>(entry.at(0)), asNumber<StartId>(entry.at(1)), entry.at(2).get<bool>() ? OrderKind::Load : OrderKind::Unload, asText<base::ModelId>(entry.at(3)), entry.at(4).get<bool>() };
        order.expected = asDuration(entry.at(5));
        order.age = asDuration(entry.at(6));
        state.orders.push_back(std::move(order));
    }
    state.maxStoreLoads = asCount(value.at(1));
    return state;
}

DemandReport decodeDemand(const Json& value, ReportSender sender)
{
    DemandReport report { std::move(sender), {} };
    for (const Json& entry : value.at(1)) {
        report.demand.push_back({ asTarget(entry.at(0), entry.at(1)), asInteger(entry.at(2)), asInteger(entry.at(3)), asInteger(entry.at(4)), asInteger(entry.at(5)) });
    }
    constexpr size_t handoverIndex = 2;
    if (value.size() > handoverIndex)
        report.handover = { asNumber<base::Epoch>(value.at(handoverIndex)), decodeState(value.at(handoverIndex + 1)) };
    return report;
}

PlanReport decodePlan(const Json& value, ReportSender sender)
{
    PlanReport report { std::move(sender), asNumber<base::Epoch>(value.at(1)), {}, {} };
    for (const Json& entry : value.at(2)) {
        report.notices.push_back({ asText<base::UpstreamId>(entry.at(0)), asNumber<StartId>(entry.at(1)), asTarget(entry.at(2), entry.at(3)), entry.at(4).get<bool>() });
    }
    for (const Json& entry : value.at(3))
        report.expected.push_back({ asTarget(entry.at(0), entry.at(1)), asDuration(entry.at(2)) });
    constexpr size_t stateIndex = 4;
    if (value.size() > stateIndex)
        report.state = decodeState(value.at(stateIndex));
    return report;
}

LoadReport asChange(LoadReport report)
{
    report.complete = false;
    report.limits.complete = false;
    return report;
}

template <typename Report>
Report asChange(Report report)
{
    report.complete = false;
    return report;
}

FleetReport decode(const Json& value)
{
    const Json& header = value.at(0);
    ReportSender sender { asText<base::InstanceId>(header.at(1)), asNumber<Incarnation>(header.at(2)), asInteger(header.at(3)) };
    constexpr size_t relaysIndex = 4;
    if (header.size() > relaysIndex)
        sender.relays = header.at(relaysIndex).get<bool>();
    switch (static_cast<ReportKind>(asInteger(header.at(0)))) {
    case ReportKind::Load:
        return decodeLoad(value, std::move(sender));
    case ReportKind::Demand:
        return decodeDemand(value, std::move(sender));
    case ReportKind::Plan:
        return decodePlan(value, std::move(sender));
    case ReportKind::UpstreamList:
        return UpstreamListReport { std::move(sender), asNumber<base::Revision>(value.at(1)), asNumber<base::Revision>(value.at(2)) };
    case ReportKind::Relayed:
        return RelayedReports { std::move(sender), value.at(1).get<bool>(), value.at(2).get<std::vector<std::string>>() };
    case ReportKind::LoadChange:
        return asChange(decodeLoad(value, std::move(sender)));
    case ReportKind::DemandChange:
        return asChange(decodeDemand(value, std::move(sender)));
    case ReportKind::PlanChange:
        return asChange(decodePlan(value, std::move(sender)));
    }
    throw std::invalid_argument("unknown report kind");
}

} // namespace

std::string encodeReport(const FleetReport& report)
{
    Json value = std::visit([](const auto& kind) { return encode(kind); }, report);
    std::string bytes;
    Json::to_msgpack(value, bytes);
    return bytes;
}

std::optional<FleetReport> decodeReport(std::string_view bytes)
{
    return base::decodeMessagePack<FleetReport>(bytes, reportDepth, decode);
}

} // namespace toucanstep::direct
