#include "toucanstep/fleet/Demo.h"

#include "toucanstep/base/Digest.h"
#include "toucanstep/base/Text.h"
#include "toucanstep/fleet/EmbeddedFleet.h"

#include <chrono>
#include <glog/logging.h>
#include <iomanip>
#include <thread>

namespace toucanstep::fleet {

namespace {

constexpr std::string_view farmKey = "demo-key-of-farm";
constexpr std::string_view smallKey = "demo-key-of-small";
constexpr std::string_view leavingKey = "demo-key-to-withdraw";
constexpr base::Duration patience = std::chrono::seconds(12);
constexpr base::Duration withdrawBound = std::chrono::seconds(3);

std::string keyLine(std::string_view key)
{
    return base::concat("{ \"sha256\": \"", base::sha256Hex(key), "\" }");
}

// The operators' text of the demo. `withdrawn` leaves one key out, as an operator would.
std::string demoText(bool withdrawn)
{
    std::string keys = keyLine(farmKey);
    if (!withdrawn)
        base::append(keys, ", ", keyLine(leavingKey));
    return base::concat(R"({
  // What callers may wait, and what one answer in time is worth.
  "kinds": {
    "narrative": { "weight": 3, "defaultTimeout": "20s" },
    "order": { "weight": 5, "defaultTimeout": "5s" }
  },
  "accounts": {
    "farm": { "tokensPerSecond": 20000, "burst": 40000, "weight": 1, "keys": [)",
        keys, R"(] },
    // Four hundred tokens at once, and forty more each second.
    "small": { "tokensPerSecond": 40, "burst": 400, "weight": 1, "keys": [)",
        keyLine(smallKey), R"(] }
  },
  "pools": {
    "language": { "kind": "engines", "listName": "language", "memory": "24GiB", "slots": 8, "tokensPerSecond": 500, "capabilities": { "resume": true, "fencing": true } },
    "application": { "kind": "services", "listName": "application", "slots": 16 }
  },
  "models": {
    "clamp-narrative": { "pool": "language", "kind": "narrative", "memory": "8GiB", "checkpoint": "2GiB" },
    "face-notes": { "pool": "language", "kind": "narrative", "memory": "8GiB", "checkpoint": "2GiB" }
  },
  "services": {
    "sealing-orders": { "pool": "application", "kind": "order", "idempotent": false, "retention": "1h", "cost": 10 }
  },
  "loads": { "concurrentLoads": 4, "adaptersInFlight": 30, "remoteBytesPerSecond": "4GiB", "diskBytesPerSecond": "16GiB", "memoryBytesPerSecond": "64GiB" }
}
)");
}

class Report {
public:
    explicit Report(std::ostream& output)
        : m_output(output)
    {
    }

    void check(bool good, std::string_view what, std::string_view detail)
    {
        ++m_checks;
        m_failed += good ? 0 : 1;
        m_output << (good ? "  ok      " : "  FAILED  ") << what << ": " << detail << "\n";
    }

    int finish()
    {
        m_output << "demo: " << m_checks << " checks, " << m_failed << " failed\n";
        return m_failed ? cli::exitFindings : cli::exitGood;
    }

private:
    std::ostream& m_output;
    int m_checks = 0;
    int m_failed = 0;
};

std::string chatBody(std::string_view model, int maximumTokens, bool stream)
{
    return base::concat(R"({"model":")", model, R"(","max_tokens":)", maximumTokens, R"(,"stream":)", stream ? "true" : "false",
        R"(,"messages":[{"role":"user","content":"Describe the face of clamp 7 for feeding today."}]})");
}

CallerCall chat(std::string_view key, std::string_view model, int maximumTokens, bool stream, int gateway = 0)
{
    return { .path = "/v1/chat/completions", .key = std::string(key), .body = chatBody(model, maximumTokens, stream), .gateway = gateway };
}

std::string describe(const CallerReply& reply)
{
    std::string text = base::concat("HTTP ", reply.http.status, " in ", base::toMilliseconds(reply.took), " ms");
    if (!reply.code.empty())
        base::append(text, ", code ", reply.code, ", ran ", reply.ran);
    if (reply.retryAfterMilliseconds >= 0)
        base::append(text, ", ask again in ", reply.retryAfterMilliseconds, " ms");
    if (reply.http.error)
        base::append(text, ", ", reply.http.error->message);
    return text;
}

class DemoRun {
public:
    DemoRun(std::ostream& output, EmbeddedFleet& fleet)
        : m_fleet(fleet)
        , m_report(output)
    {
    }

    int run()
    {
        publish();
        wakeAndAnswer();
        overItsRate();
        orderTwice();
        strangers();
        withdrawKey();
        return m_report.finish();
    }

private:
    void publish()
    {
        base::Revision version = m_fleet.publish(demoText(false));
        bool inForce = m_fleet.waitInForce(version, patience);
        m_report.check(inForce, "publish", base::concat("version ", version, " in force at every gateway and sidecar"));
        // Shares of limits and homes of models are placed by the gateways themselves; until then callers are refused.
        bool serving = m_fleet.waitServing(chat(farmKey, "face-notes", 8, false), patience);
        m_report.check(serving, "placement", "every account has its shares, every model its home");
    }

    void wakeAndAnswer()
    {
        CallerReply cold = m_fleet.call(chat(farmKey, "clamp-narrative", 24, true));
        bool whole = cold.http.body.find("[DONE]") != std::string::npos;
        m_report.check(cold.http.ok() && whole, "cold request", base::concat(describe(cold), "; the model was loaded for it and the stream is whole"));
        CallerReply warm = m_fleet.call(chat(farmKey, "clamp-narrative", 24, true, 1));
        whole = warm.http.body.find("[DONE]") != std::string::npos;
        m_report.check(warm.http.ok() && whole, "warm request at the other gateway", describe(warm));
        int64_t loads = 0;
        for (int index = 0; index < 2; ++index)
            loads += m_fleet.engine(index).counters().loads;
        m_report.check(loads == 2, "loads", base::concat(loads, " loads for two models, one each"));
    }

    void overItsRate()
    {
        CallerReply last;
        int answered = 0;
        for (int index = 0; index < 6; ++index) {
            last = m_fleet.call(chat(smallKey, "clamp-narrative", 100, false, index % 2));
            answered += last.http.ok();
            if (!last.http.ok())
                break;
        }
        m_report.check(last.code == "rate_limited" && last.ran == "not_run" && last.retryAfterMilliseconds > 0, "over its rate", base::concat("after ", answered, " answers: ", describe(last)));
        CallerReply tooMuch = m_fleet.call(chat(smallKey, "clamp-narrative", 4000, false));
        m_report.check(tooMuch.code == "cost_above_burst" && tooMuch.ran == "not_run", "above the whole burst", describe(tooMuch));
    }

    void orderTwice()
    {
        CallerCall order { .path = "/v1/services/sealing-orders/orders", .key = std::string(farmKey), .body = R"({"clamp":7})", .headers = { { "Idempotency-Key", "order-7" } } };
        CallerReply first = m_fleet.call(order);
        order.gateway = 1;
        CallerReply second = m_fleet.call(order);
        bool same = first.http.body == second.http.body && !first.http.body.empty();
        m_report.check(first.http.ok() && second.http.ok() && same, "order sent twice", base::concat("first ", describe(first), "; repeat ", describe(second), ", the same answer"));
        m_report.check(m_fleet.service(0).runs("order-7") == 1, "order ran", base::concat(m_fleet.service(0).runs("order-7"), " time(s)"));
        order.body = R"({"clamp":8})";
        CallerReply other = m_fleet.call(order);
        m_report.check(other.code == "idempotency_key_reused" && other.ran == "not_run", "same key, other order", describe(other));
        order.headers.clear();
        CallerReply without = m_fleet.call(order);
        m_report.check(without.code == "idempotency_key_required", "order without a key", describe(without));
    }

    void strangers()
    {
        CallerReply unknown = m_fleet.call(chat("no-such-key", "clamp-narrative", 8, false));
        m_report.check(unknown.http.status == 401, "unknown key", describe(unknown));
        CallerReply model = m_fleet.call(chat(farmKey, "no-such-model", 8, false));
        m_report.check(model.http.status == 404 && model.code == "unknown_model", "unknown model", describe(model));
    }

    void withdrawKey()
    {
        CallerReply before = m_fleet.call(chat(leavingKey, "clamp-narrative", 8, false));
        m_report.check(before.http.ok(), "key before it is withdrawn", describe(before));
        base::Instant began = std::chrono::steady_clock::now();
        m_fleet.publish(demoText(true));
        CallerReply after;
        do {
            after = m_fleet.call(chat(leavingKey, "clamp-narrative", 8, false, 0));
            CallerReply other = m_fleet.call(chat(leavingKey, "clamp-narrative", 8, false, 1));
            if (after.http.status == 401 && other.http.status == 401)
                break;
        } while (std::chrono::steady_clock::now() < began + withdrawBound);
        auto took = base::toMilliseconds(std::chrono::steady_clock::now() - began);
        m_report.check(after.http.status == 401, "withdrawn key", base::concat("refused at both gateways ", took, " ms after publishing"));
    }

    EmbeddedFleet& m_fleet;
    Report m_report;
};

class DemoCommand final : public cli::Command {
public:
    std::string name() const override { return "demo"; }
    std::string summary() const override { return "Run the whole path in one process on embedded stand-ins and check what callers get."; }
    std::string example() const override { return "toucanstep demo --stay"; }
    std::vector<cli::ExitStatus> exitStatuses() const override
    {
        return { { cli::exitGood, "every check held" }, { cli::exitFindings, "a check failed" } };
    }

    void declare(cli::Syntax& syntax) const override
    {
        syntax.addFlag("stay", "stay up after the checks, for requests by hand; end with Ctrl-C");
        syntax.addFlag("verbose", "show the log lines of every process as well");
    }

    int run(const cli::Arguments& arguments, cli::Streams streams) const override
    {
        FLAGS_logtostderr = true;
        FLAGS_minloglevel = arguments.flag("verbose") ? google::GLOG_INFO : google::GLOG_ERROR;
        FleetOptions options;
        constexpr base::Bytes checkpointSize { 2'000'000'000 };
        for (const char* name : { "clamp-narrative", "face-notes" })
            options.engine.checkpoints.push_back({ .name = name, .size = checkpointSize });
        options.engine.remoteRate = 4'000'000'000;
        options.engine.honoursFencing = true;
        options.engine.honoursResume = true;
        EmbeddedFleet fleet(options);
        int status = DemoRun(streams.output, fleet).run();
        if (!arguments.flag("stay"))
            return status;
        streams.output << "callers: http://127.0.0.1:" << fleet.callerPort(0) << " and http://127.0.0.1:" << fleet.callerPort(1) << "\n"
                       << "operators: http://127.0.0.1:" << fleet.operatorPort(0) << "/status\n"
                       << "try: curl -N -H 'Authorization: Bearer " << farmKey << "' -H 'Content-Type: application/json' -d '" << chatBody("clamp-narrative", 20, true) << "' http://127.0.0.1:" << fleet.callerPort(0) << "/v1/chat/completions\n"
                       << std::flush;
        while (true)
            std::this_thread::sleep_for(std::chrono::hours(1));
    }
};

} // namespace

std::unique_ptr<cli::Command> makeDemoCommand()
{
    return std::make_unique<DemoCommand>();
}

} // namespace toucanstep::fleet
