// The daemon as a gateway that talks to upstreams itself. Its settings file is the platform's. SIGTERM ends it gracefully;
// SIGHUP reads the settings again and says what it found.

#include "Modes.h"
#include "PlatformFormat.h"
#include "PlatformStore.h"
#include "SettingsFile.h"
#include "WireNames.h"
#include "toucanstep/base/LogLine.h"
#include "toucanstep/base/LogStream.h"

#include <csignal>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <glog/logging.h>
#include <sstream>

namespace {

using namespace toucanstep;

constexpr int exitGood = 0;
constexpr int exitFindings = 1;
constexpr int exitUnusable = 2;
constexpr long drainPollNanoseconds = 50'000'000;

std::optional<platform::ProcessSettings> readSettingsFile()
{
    const char* path = std::getenv(platform::wire::settingsVariable);
    std::ifstream file(path ? path : "");
    if (!file) {
        base::LogLine("settings_unreadable").add("variable", platform::wire::settingsVariable).add("path", path ? path : "");
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    platform::SettingsReading reading = platform::readSettings(text.str());
    for (const auto& finding : reading.findings)
        base::LogLine("settings_finding").add("path", path).add("finding", finding);
    return reading.settings;
}

sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

// Addresses and the instance's name are fixed for a process's life, so a reload only reports what it found.
void waitForStop(const sigset_t& signals)
{
    int signal = 0;
    while (!sigwait(&signals, &signal) && signal == SIGHUP) {
        auto settings = readSettingsFile();
        base::LogLine("settings_reloaded").add("usable", settings ? "yes" : "no");
    }
    base::LogLine("stop_requested").add("signal", signal);
}

} // namespace

int toucanstepd::runDirect()
{
    base::LogStream logs;
    sigset_t signals = blockSignals();
    auto settings = readSettingsFile();
    if (!settings)
        return exitFindings;
    base::Error error;
    base::Endpoint store = settings->store;
    auto gateway = base::valueOr(error, [&] {
        return direct::DirectGateway::start(settings->gateway, std::make_shared<platform::PlatformFormat>(),
            [store](io::EventLoop& loop, http1::Client& client, direct::WatchPollSettings polling) {
                return platform::makePlatformStore(loop, client, store, { .watchPause = polling.pollDelay, .upstreamPause = polling.upstreamPollDelay, .upstreamPauseSpread = polling.upstreamPollDelaySpread, .textWait = polling.longPollTimeout });
            });
    });
    if (!gateway) {
        base::LogLine("start_failed").add("reason", error.message);
        return exitUnusable;
    }
    base::LogLine("started").add("instance", settings->gateway.instance).add("callers", (*gateway)->callerEndpoint().text()).add("store", store.text());
    waitForStop(signals);
    (*gateway)->leave();
    timespec poll { 0, drainPollNanoseconds };
    while (!(*gateway)->drained()) {
        // A supervisor may repeat the signal; the grace period bounds the waiting.
        int signal = sigtimedwait(&signals, nullptr, &poll);
        if (signal > 0)
            base::LogLine("signal_while_leaving").add("signal", signal);
    }
    gateway->reset();
    base::LogLine("stopped").add("lines_dropped", logs.dropped());
    return exitGood;
}
