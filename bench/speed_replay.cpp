// Late calls and queues under uneven engines, with and without estimates of speed, and the time of one decision. Prints JSON.

#include "SpeedReplay.h"
#include "toucanstep/base/Text.h"

#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>

using namespace toucanstep;
using namespace toucanstep::upstreams;
using toucanstep::upstreams::testing::ReplayResult;
using toucanstep::upstreams::testing::ReplaySettings;
using toucanstep::upstreams::testing::SpeedReplay;

namespace {

using Json = nlohmann::json;

Json replay(const ReplaySettings& settings)
{
    ReplayResult result = SpeedReplay(settings).run();
    return { { "gateways", settings.gateways }, { "calls_per_s", settings.callsPerSecond }, { "seed", settings.seed }, { "speeds", settings.useSpeeds }, { "calls", result.calls }, { "late", result.late }, { "most_awaiting", result.mostAwaiting }, { "longest_queue_s", result.longestQueueSeconds }, { "fewest_calls", result.fewestCalls } };
}

// What a gateway of a fleet of that size has learned in 30 s, at 1,100 calls per second over the fleet and 1,200 upstreams.
Json decisionTime(size_t gateways, bool useSpeeds)
{
    constexpr int upstreamCount = 1200;
    constexpr int fleetCallsPerSecond = 1100;
    constexpr int learnedSeconds = 30;
    constexpr int decisions = 500;
    base::ServiceId service("narrator");
    base::Instant now { std::chrono::hours(1) };
    UpstreamTable table;
    UpstreamSpeeds speeds;
    std::vector<base::UpstreamId> ids;
    for (int number = 0; number < upstreamCount; ++number) {
        UpstreamDescription description;
        description.id = base::UpstreamId(base::concat("i-engine-", number));
        description.service = service;
        description.slots = 32;
        ids.push_back(description.id);
        table.put(description, now);
    }
    auto answers = fleetCallsPerSecond * learnedSeconds / static_cast<int>(gateways);
    for (int number = 0; number < answers; ++number) {
        constexpr int step = 7;
        constexpr int workPercent = 60;
        const auto& id = ids[static_cast<size_t>(number) * step % ids.size()];
        speeds.onCall(service, id, StartId(), now);
        speeds.onStated(service, id, StartId(), { 1, 0, 32, workPercent + number % 100 }, now);
        speeds.onAnswerStarted(id, StartId(), { base::Tokens(900), std::chrono::milliseconds(100 + number % 70), 0 }, now);
    }
    UpstreamQuery query;
    query.service = service;
    query.speeds = useSpeeds ? &speeds : nullptr;
    auto began = std::chrono::steady_clock::now();
    for (int number = 0; number < decisions; ++number) {
        query.spreadKey = std::to_string(number);
        auto choice = selectUpstream(table, query, now);
        if (useSpeeds)
            speeds.onCall(service, choice.upstream, StartId(), now);
    }
    double micros = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - began).count() / decisions;
    return { { "gateways", gateways }, { "upstreams", upstreamCount }, { "speeds", useSpeeds }, { "us_per_decision", micros }, { "records", speeds.size() } };
}

} // namespace

int main()
{
    Json out;
    for (size_t gateways : { 1, 27 }) {
        for (double rate : { 180.0, 260.0, 400.0, 440.0 }) {
            for (bool useSpeeds : { false, true })
                out["replays"].push_back(replay({ gateways, rate, useSpeeds }));
        }
    }
    for (size_t gateways : { 4, 33, 350 }) {
        for (bool useSpeeds : { false, true })
            out["decisions"].push_back(decisionTime(gateways, useSpeeds));
    }
    for (const auto& [kind, rows] : out.items()) {
        for (const auto& row : rows)
            std::cout << row.dump() << "\n";
    }
}
