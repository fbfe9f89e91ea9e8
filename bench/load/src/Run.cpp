#include "Run.h"

#include "Quantile.h"
#include "Traffic.h"
#include "toucanstep/base/Text.h"
#include "toucanstep/history/Checkers.h"
#include "toucanstep/history/Measures.h"

#include <algorithm>
#include <fstream>
#include <ostream>
#include <set>
#include <sstream>
#include <thread>

namespace toucanstep::bench {

namespace {

using base::HistoryEvent;
using base::HistoryKind;

constexpr base::Duration placementPatience = std::chrono::seconds(15);
// Buckets that begin empty, as those of a baseline do, are full after this: a burst is four seconds of the rate.
constexpr base::Duration settling = std::chrono::seconds(5);
constexpr size_t shownPerBound = 3;

double milliseconds(base::Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

// The actions of a scenario, each at its time, in a thread of their own.
class Actor {
public:
    Actor(Fleet& fleet, std::vector<Action> actions, base::Instant begin, std::ostream& log)
        : m_thread([&fleet, actions = std::move(actions), begin, &log] {
            for (const Action& action : actions) {
                std::this_thread::sleep_until(begin + action.at);
                log << "  " << base::toMilliseconds(std::chrono::steady_clock::now() - begin) << " ms: " << action.what << "\n";
                action.act(fleet);
            }
        })
    {
    }
    ~Actor() { m_thread.join(); }

private:
    std::thread m_thread;
};

void readHistory(const Instance& instance, history::History& history, std::vector<HistoryEvent>& events)
{
    std::ifstream file(instance.historyFile);
    std::ostringstream text;
    text << file.rdbuf();
    history::History own;
    own.addLines(text.str());
    for (const HistoryEvent& event : own.events()) {
        history.add(event);
        events.push_back(event);
    }
}

// A killed process writes no end to its requests. Their callers saw the connection break at that time, which tells them that
// the request may have run.
void endRequestsOfKilled(const Instance& instance, std::vector<HistoryEvent>& events)
{
    std::set<base::RequestId> open;
    std::map<base::RequestId, base::ClientAccountId> accounts;
    std::string recorder = base::concat(instance.id, "/");
    for (const HistoryEvent& event : events) {
        if (event.recorder.value().rfind(recorder, 0) != 0)
            continue;
        accounts[event.request] = event.account;
        if (event.kind == HistoryKind::Offered)
            open.insert(event.request);
        else if (event.kind == HistoryKind::Answered || event.kind == HistoryKind::Refused)
            open.erase(event.request);
    }
    for (const base::RequestId& request : open) {
        HistoryEvent told { .kind = HistoryKind::Refused, .request = request, .account = accounts[request], .ran = base::RanState::MayHaveRun };
        told.at = instance.killedAt;
        told.recorder = base::InstanceId("bench");
        events.push_back(told);
    }
}

class Evaluation {
public:
    Evaluation(Fleet& fleet, RunRecord& record)
        : m_fleet(fleet)
        , m_record(record)
    {
        collect();
    }

    void fill(RunResult& result)
    {
        history::History measured = measuredPart();
        history::Measures measures = history::measure(measured);
        result.idleAcceleratorRatio = measures.idleAcceleratorRatio;
        result.worstAccount = measures.worstAccount;
        result.wrongfulRefusals = measures.wrongfulRefusals;
        fillOutcomes(result);
        fillColdStarts(result);
        fillBreaks(result);
        result.durationSeconds = base::toSeconds(m_record.end - m_record.begin);
        double length = std::max(result.durationSeconds, 1.0);
        result.extra["store_writes_per_s"] = static_cast<double>(m_record.storeAtEnd.writes - m_record.storeAtBegin.writes) / length;
        result.extra["loads"] = static_cast<double>(loadsInRun());
        result.extra["store_peak_loads_in_flight"] = static_cast<double>(m_fleet.weights().counters().peakLoadsInFlight);
    }

private:
    void collect()
    {
        std::vector<InstancePointer> instances = m_fleet.gateways();
        auto sidecars = m_fleet.sidecars();
        instances.insert(instances.end(), sidecars.begin(), sidecars.end());
        history::History ignored;
        for (const InstancePointer& instance : instances)
            readHistory(*instance, ignored, m_record.events);
        for (const InstancePointer& instance : instances) {
            if (instance->killedAt != base::Instant {})
                endRequestsOfKilled(*instance, m_record.events);
        }
        for (const HistoryEvent& event : m_fleet.truth().events())
            m_record.events.push_back(event);
        // What happens while the fleet is shut down is no part of the run.
        std::erase_if(m_record.events, [&](const HistoryEvent& event) { return event.at > m_record.end; });
        for (const HistoryEvent& event : m_record.events)
            m_all.add(event);
    }

    // Without the requests of the warm-up.
    history::History measuredPart() const
    {
        std::set<base::RequestId> before;
        for (const HistoryEvent& event : m_record.events) {
            if (event.kind == HistoryKind::Offered && event.at < m_record.begin)
                before.insert(event.request);
        }
        history::History measured;
        for (const HistoryEvent& event : m_record.events) {
            bool runs = event.kind == HistoryKind::RunStarted || event.kind == HistoryKind::RunEnded;
            if (runs || event.request.empty() || !before.contains(event.request))
                measured.add(event);
        }
        return measured;
    }

    void fillOutcomes(RunResult& result) const
    {
        if (m_record.outcomes.empty())
            return;
        int64_t answered = 0;
        int64_t refused = 0;
        int64_t cut = 0;
        for (const Outcome& outcome : m_record.outcomes) {
            answered += outcome.whole ? 1 : 0;
            cut += outcome.cut ? 1 : 0;
            refused += !outcome.whole && !outcome.cut ? 1 : 0;
        }
        result.requests = static_cast<int64_t>(m_record.outcomes.size());
        result.answered = answered;
        result.refused = refused;
        result.cut = cut;
    }

    // From the time at which the caller meant to send to the first byte that it got.
    void fillColdStarts(RunResult& result) const
    {
        std::set<base::RequestId> cold;
        std::map<base::RequestId, base::UpstreamId> ranAt;
        for (const HistoryEvent& event : m_record.events) {
            if (event.kind == HistoryKind::FirstToken && event.cold)
                cold.insert(event.request);
            if (event.kind == HistoryKind::RunStarted)
                ranAt[event.request] = event.upstream;
        }
        std::vector<ObservedLoad> loads = m_fleet.truth().loads();
        std::vector<double> starts;
        std::vector<double> ratios;
        for (const Outcome& outcome : m_record.outcomes) {
            if (outcome.request.empty() || !cold.contains(outcome.request))
                continue;
            double start = milliseconds(outcome.firstByteAt - outcome.intendedAt);
            starts.push_back(start);
            if (auto bare = bareLoadTime(loads, ranAt[outcome.request], outcome))
                ratios.push_back(start / milliseconds(*bare));
        }
        constexpr double middle = 0.5;
        constexpr double tail = 0.95;
        constexpr double farTail = 0.99;
        result.coldStartP50Milliseconds = quantile(starts, middle);
        result.coldStartP95Milliseconds = quantile(starts, tail);
        result.coldStartP99Milliseconds = quantile(starts, farTail);
        result.coldStartP99Ratio = quantile(ratios, farTail);
        result.extra["cold_starts"] = static_cast<double>(starts.size());
    }

    std::optional<base::Duration> bareLoadTime(const std::vector<ObservedLoad>& loads, const base::UpstreamId& upstream, const Outcome& outcome) const
    {
        std::optional<base::Duration> found;
        for (const ObservedLoad& load : loads) {
            if (load.upstream == upstream && load.model.value() == outcome.planned.model && load.at <= outcome.firstByteAt)
                found = m_fleet.deployment().bareLoadTime(load.size, load.tier);
        }
        return found;
    }

    void addBreak(RunResult& result, const std::string& bound, const std::string& text)
    {
        result.boundBreaks = result.boundBreaks.value_or(0) + 1;
        if (m_shown[bound]++ < shownPerBound)
            result.breaks.push_back(base::concat(bound, ": ", text));
    }

    void fillBreaks(RunResult& result)
    {
        result.boundBreaks = 0;
        for (const history::Break& found : history::checkAll(m_all))
            addBreak(result, found.bound, found.render());
        for (const Outcome& outcome : m_record.outcomes) {
            if (outcome.wrong)
                addBreak(result, "foreign_or_cut_answers", base::concat("the caller of request ", outcome.request, " got another text than the engine gave"));
        }
        std::map<std::string, int64_t> runs;
        for (const InstancePointer& sidecar : m_fleet.sidecars()) {
            if (!sidecar->service)
                continue;
            for (const auto& [key, count] : sidecar->service->allRuns())
                runs[key] += count;
        }
        for (const auto& [key, count] : runs) {
            if (!key.empty() && count > 1)
                addBreak(result, "doubled_calls", base::concat("order ", key, " took effect ", count, " times"));
        }
        for (const Outcome& outcome : m_record.outcomes) {
            const std::string& key = outcome.planned.idempotencyKey;
            if (!key.empty() && outcome.ran == "not_run" && runs.contains(key))
                addBreak(result, "false_not_run_at_service", base::concat("order ", key, " of request ", outcome.request, " took effect, its caller was told not_run"));
        }
        checkKeysAtUpstreams(result);
        for (const auto& [bound, count] : m_shown)
            result.extra["breaks_" + bound] = count;
    }

    // No upstream may see a caller's key.
    void checkKeysAtUpstreams(RunResult& result)
    {
        for (const InstancePointer& sidecar : m_fleet.sidecars()) {
            if (!sidecar->engine)
                continue;
            for (const fakes::FakeEngineRequest& request : sidecar->engine->requests()) {
                if (formats::findHeader(request.headers, "Authorization").find("bench-key") != std::string_view::npos)
                    addBreak(result, "keys_seen", base::concat("engine of ", sidecar->id, " saw a caller's key"));
            }
        }
    }

    int64_t loadsInRun() const
    {
        auto loads = m_fleet.truth().loads();
        return std::count_if(loads.begin(), loads.end(), [&](const ObservedLoad& load) { return load.at >= m_record.begin && load.at <= m_record.end; });
    }

    Fleet& m_fleet;
    RunRecord& m_record;
    history::History m_all;
    std::map<std::string, size_t> m_shown;
};

// Counts what did not end well by what the caller saw, for the log.
void logFailures(const std::vector<Outcome>& outcomes, std::ostream& log)
{
    std::map<std::string, int> counts;
    for (const Outcome& outcome : outcomes) {
        if (outcome.whole)
            continue;
        ++counts[base::concat(outcome.cut ? "cut" : "refused", " status=", outcome.status, " code=", outcome.code, " ", outcome.error)];
    }
    for (const auto& [text, count] : counts)
        log << "  " << count << " x " << text << "\n";
}

} // namespace

std::optional<RunResult> runScenario(const RunOptions& options, const Variant& variant, std::ostream& log)
{
    auto deployment = Deployment::read(options.sampleFile);
    auto scenario = findScenario(options.scenario);
    if (!deployment || !scenario)
        return std::nullopt;
    std::mt19937_64 generator(options.seed);
    FleetOptions fleetOptions;
    fleetOptions.daemonProgram = options.daemonProgram;
    fleetOptions.daemonArguments = variant.arguments;
    scenario->adjust(fleetOptions);
    Fleet fleet(deployment, fleetOptions);
    log << scenario->name() << ", " << variant.name << ", seed " << options.seed << ": " << fleet.folder().string() << "\n";
    if (!fleet.start()) {
        log << "  the fleet did not come up\n";
        for (const std::string& complaint : fleet.complaints())
            log << "  " << complaint << "\n";
        return std::nullopt;
    }
    fleet.waitPlaced(placementPatience);
    Callers callers([&fleet] { return fleet.callerPorts(); });
    // The static baseline builds its buckets, empty, when the first request comes.
    callers.run(firstOrders(*deployment, generator), std::chrono::steady_clock::now());
    std::this_thread::sleep_for(settling);
    auto warmUp = callers.run(scenario->warmUp(*deployment, generator), std::chrono::steady_clock::now());
    auto failed = std::count_if(warmUp.begin(), warmUp.end(), [](const Outcome& outcome) { return !outcome.whole; });
    log << "  warm-up: " << warmUp.size() << " requests, " << failed << " not answered\n";
    logFailures(warmUp, log);

    constexpr base::Duration leadTime = std::chrono::milliseconds(200);
    auto plan = scenario->plan(*deployment, generator);
    RunRecord record;
    record.begin = std::chrono::steady_clock::now() + leadTime;
    record.storeAtBegin = fleet.store().counters();
    {
        Actor actor(fleet, scenario->actions(*deployment), record.begin, log);
        record.outcomes = callers.run(std::move(plan), record.begin);
    }
    record.end = std::chrono::steady_clock::now();
    record.storeAtEnd = fleet.store().counters();
    for (const InstancePointer& sidecar : fleet.sidecars())
        record.engineCrashes += sidecar->engine ? sidecar->engine->counters().crashes : 0;
    fleet.stop();
    logFailures(record.outcomes, log);

    RunResult result;
    result.scenario = scenario->name();
    result.seed = options.seed;
    result.variant = variant.name;
    result.version = options.version;
    Evaluation(fleet, record).fill(result);
    scenario->measure(record, result);
    for (const std::string& complaint : fleet.complaints())
        log << "  " << complaint << "\n";
    result.extra["ended_badly"] = static_cast<double>(fleet.complaints().size());
    if (!options.keepFolder)
        std::filesystem::remove_all(fleet.folder());
    return result;
}

} // namespace toucanstep::bench
