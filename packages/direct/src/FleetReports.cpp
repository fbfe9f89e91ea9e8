#include "toucanstep/direct/FleetReports.h"

#include "toucanstep/base/MessagePack.h"

#include <nlohmann/json.hpp>

namespace toucanstep::direct {

namespace {

using Json = nlohmann::json;

// Report, list of entries, entry, value.
constexpr int reportDepth = 5;

enum class ReportKind {
    Load = 1,
    Demand = 2,
    Plan = 3,
};

int64_t inMilliseconds(base::Duration duration) { return base::toMilliseconds(duration); }

Json head(ReportKind kind, const ReportSender& sender)
{
    return Json::array({ static_cast<int>(kind), sender.instance.value(), sender.incarnation.value(), sender.sequence });
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
    Json strikes = Json::array();
    for (const auto& strike : report.strikes)
        strikes.push_back({ strike.fingerprint.value(), strike.crash.value(), inMilliseconds(strike.remaining) });
    Json unheard = Json::array();
    for (const auto& peer : report.limits.silentPeers)
        unheard.push_back(peer.value());
    Json stocks = Json::array();
    for (const auto& known : report.limits.balances)
        stocks.push_back({ known.account.value(), known.balance.value() });
    return Json::array({ head(ReportKind::Load, report.sender), report.configuration.value(), directories, report.leaving, use, charges, strikes, unheard, report.limits.liveSetDigest, stocks });
}

Json encode(const DemandReport& report)
{
    Json demand = Json::array();
    for (const auto& entry : report.demand)
        demand.push_back({ entry.target.model.value(), entry.target.adapter.value(), entry.waiting, entry.running, entry.arrivalsPerKilosecond, entry.awaitingThousandths });
    return Json::array({ head(ReportKind::Demand, report.sender), demand });
}

Json encode(const PlanReport& report)
{
    Json notices = Json::array();
    for (const auto& notice : report.notices)
        notices.push_back({ notice.upstream.value(), notice.start.value(), notice.target.model.value(), notice.target.adapter.value(), notice.loaded });
    Json expected = Json::array();
    for (const auto& load : report.expected)
        expected.push_back({ load.target.model.value(), load.target.adapter.value(), inMilliseconds(load.in) });
    return Json::array({ head(ReportKind::Plan, report.sender), report.fence.value(), notices, expected });
}

// The library throws on values of another type; decodeReport() turns that into nothing. It would convert a fraction, and
// one that does not fit has no value as a whole number.
int64_t whole(const Json& value)
{
    if (!value.is_number_integer())
        throw std::invalid_argument("not a whole number");
    return value.get<int64_t>();
}

base::Duration span(const Json& value)
{
    // No time between gateways is longer than a day; far more would not fit into nanoseconds.
    constexpr int64_t longest = 24 * 3600 * 1000;
    int64_t milliseconds = whole(value);
    if (milliseconds < 0 || milliseconds > longest)
        throw std::invalid_argument("not a time that a gateway reports");
    return std::chrono::milliseconds(milliseconds);
}

template <typename Strong>
Strong number(const Json& value) { return Strong(whole(value)); }
template <typename Strong>
Strong text(const Json& value) { return Strong(value.get<std::string>()); }

ModelTarget target(const Json& model, const Json& adapter)
{
    return { text<base::ModelId>(model), text<AdapterId>(adapter) };
}

LoadReport decodeLoad(const Json& value, ReportSender sender)
{
    LoadReport report { std::move(sender), number<ConfigurationVersion>(value.at(1)), {}, value.at(3).get<bool>(), {}, {}, {} };
    report.limits.incarnation = report.sender.incarnation;
    for (const Json& revision : value.at(2))
        report.directories.push_back(number<base::Revision>(revision));
    for (const Json& entry : value.at(4))
        report.use.push_back({ text<base::UpstreamId>(entry.at(0)), { whole(entry.at(1)), whole(entry.at(2)) } });
    for (const Json& entry : value.at(5))
        report.limits.charges.push_back({ text<base::ClientAccountId>(entry.at(0)), number<base::Tokens>(entry.at(1)) });
    for (const Json& entry : value.at(6)) {
        report.strikes.push_back({ text<routing::RequestFingerprint>(entry.at(0)), text<routing::CrashId>(entry.at(1)),
            span(entry.at(2)) });
    }
    for (const Json& entry : value.at(7))
        report.limits.silentPeers.push_back(text<base::InstanceId>(entry));
    report.limits.liveSetDigest = whole(value.at(8));
    for (const Json& entry : value.at(9))
        report.limits.balances.push_back({ text<base::ClientAccountId>(entry.at(0)), number<base::Tokens>(entry.at(1)) });
    return report;
}

DemandReport decodeDemand(const Json& value, ReportSender sender)
{
    DemandReport report { std::move(sender), {} };
    for (const Json& entry : value.at(1)) {
        report.demand.push_back({ target(entry.at(0), entry.at(1)), whole(entry.at(2)), whole(entry.at(3)), whole(entry.at(4)), whole(entry.at(5)) });
    }
    return report;
}

PlanReport decodePlan(const Json& value, ReportSender sender)
{
    PlanReport report { std::move(sender), number<base::Epoch>(value.at(1)), {}, {} };
    for (const Json& entry : value.at(2)) {
        report.notices.push_back({ text<base::UpstreamId>(entry.at(0)), number<StartMark>(entry.at(1)), target(entry.at(2), entry.at(3)), entry.at(4).get<bool>() });
    }
    for (const Json& entry : value.at(3))
        report.expected.push_back({ target(entry.at(0), entry.at(1)), span(entry.at(2)) });
    return report;
}

FleetReport decode(const Json& value)
{
    const Json& first = value.at(0);
    ReportSender sender { text<base::InstanceId>(first.at(1)), number<Incarnation>(first.at(2)), whole(first.at(3)) };
    switch (static_cast<ReportKind>(whole(first.at(0)))) {
    case ReportKind::Load:
        return decodeLoad(value, std::move(sender));
    case ReportKind::Demand:
        return decodeDemand(value, std::move(sender));
    case ReportKind::Plan:
        return decodePlan(value, std::move(sender));
    }
    throw std::invalid_argument("unknown kind of report");
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
