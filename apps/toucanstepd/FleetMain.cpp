// The daemon as a gateway or a sidecar, as its settings say. SIGTERM ends it gracefully: no request is cut.

#include "Modes.h"

#include "toucanstep/config/Settings.h"
#include "toucanstep/gateway/Gateway.h"
#include "toucanstep/sidecar/Sidecar.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <ctime>
#include <fstream>
#include <glog/logging.h>
#include <iostream>
#include <sstream>
#include <type_traits>

namespace {

namespace options = boost::program_options;
using namespace toucanstep;

constexpr int exitGood = 0;
constexpr int exitFindings = 1;
constexpr int exitUnusable = 2;
constexpr long drainPollNanoseconds = 50'000'000;

// Each names a baseline that the bench compares with; the defaults are what the product runs.
struct Variants {
    std::string limits = "shares";
    std::string routing = "expected-wait";
    std::string placement = "rows";
    std::string queue = "fair";
    std::string keepAlive = "learnt";
    std::string permits = "on";
};

struct CommandLine {
    std::string settingsFile;
    bool checkOnly = false;
    bool help = false;
    Variants variants;
};

options::options_description describe(CommandLine& line)
{
    options::options_description described("toucanstepd --settings FILE");
    auto add = described.add_options();
    add("help", "show this text");
    add("settings", options::value(&line.settingsFile), "the settings of this process, JSON with comments");
    add("check-settings", "check the settings, print every finding and end: 0 clean, 1 findings, 2 cannot be read");
    add("limits", options::value(&line.variants.limits), "shares, or the baseline static");
    add("routing", options::value(&line.variants.routing), "expected-wait, or the baseline random");
    add("placement", options::value(&line.variants.placement), "rows, or the baseline on-demand");
    add("queue", options::value(&line.variants.queue), "fair, or the baseline fifo");
    add("keep-alive", options::value(&line.variants.keepAlive), "learnt, or the baseline fixed");
    add("load-permits", options::value(&line.variants.permits), "on, or the baseline off");
    return described;
}

// Waits for SIGTERM or SIGINT, which were blocked before any thread began.
void waitForStop(const sigset_t& signals)
{
    int signal = 0;
    sigwait(&signals, &signal);
    LOG(INFO) << "event=stop_requested signal=" << signal;
}

// A supervisor may repeat the signal, which changes nothing.
template <typename Process>
void drain(const Process& process, const sigset_t& signals)
{
    timespec poll { 0, drainPollNanoseconds };
    while (!process.drained()) {
        int signal = sigtimedwait(&signals, nullptr, &poll);
        if (signal > 0)
            LOG(INFO) << "event=signal_while_leaving signal=" << signal;
    }
}

// The one line on standard output, from which whoever started the process learns the ports that the system chose.
template <typename Process>
void announce(const Process& process)
{
    std::cout << "listening peer=" << process.peerEndpoint().text() << " operator=" << process.operatorPort();
    if constexpr (std::is_same_v<Process, gateway::Gateway>)
        std::cout << " caller=" << process.callerPort();
    std::cout << std::endl;
}

template <typename Process>
int serve(base::Result<std::unique_ptr<Process>> started, const sigset_t& signals)
{
    base::Error error;
    auto process = base::valueOr(error, [&] { return std::move(started); });
    if (!process) {
        std::cerr << "toucanstepd: " << error.message << "\n";
        return exitUnusable;
    }
    announce(**process);
    LOG(INFO) << "event=started peer=" << (*process)->peerEndpoint().text() << " operator_port=" << (*process)->operatorPort();
    waitForStop(signals);
    (*process)->leave();
    drain(**process, signals);
    LOG(INFO) << "event=stopped";
    return exitGood;
}

sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

gateway::GatewayOptions gatewayOptions(const Variants& variants)
{
    gateway::GatewayOptions chosen;
    chosen.limits = variants.limits == "static" ? gateway::LimitMode::Static : gateway::LimitMode::Shares;
    chosen.routing = variants.routing == "random" ? gateway::RouteMode::Random : gateway::RouteMode::ExpectedWait;
    chosen.homes = variants.placement == "on-demand" ? gateway::HomeMode::Hash : gateway::HomeMode::Rows;
    return chosen;
}

sidecar::SidecarOptions sidecarOptions(const Variants& variants)
{
    sidecar::SidecarOptions chosen;
    chosen.placement = variants.placement == "on-demand" ? sidecar::PlacementMode::OnDemand : sidecar::PlacementMode::Rows;
    chosen.queue = variants.queue == "fifo" ? sidecar::QueueMode::Fifo : sidecar::QueueMode::Fair;
    chosen.keepAlive = variants.keepAlive == "fixed" ? sidecar::KeepAliveMode::Fixed : sidecar::KeepAliveMode::Learnt;
    chosen.loadPermits = variants.permits != "off";
    return chosen;
}

int run(const CommandLine& line)
{
    std::ifstream file(line.settingsFile);
    if (!file) {
        std::cerr << "toucanstepd: cannot read the settings " << line.settingsFile << "\n";
        return exitUnusable;
    }
    std::ostringstream text;
    text << file.rdbuf();
    config::ParsedSettings parsed = config::parseSettings(line.settingsFile, text.str());
    std::cerr << parsed.findings.render();
    if (!parsed.settings)
        return exitFindings;
    if (line.checkOnly)
        return parsed.findings.empty() ? exitGood : exitFindings;
    sigset_t signals = blockStopSignals();
    if (parsed.settings->role == config::Role::Gateway)
        return serve(gateway::Gateway::start(*parsed.settings, gatewayOptions(line.variants)), signals);
    return serve(sidecar::Sidecar::start(*parsed.settings, sidecarOptions(line.variants)), signals);
}

} // namespace

int toucanstepd::runFleet(int argc, char** argv)
{
    FLAGS_logtostderr = true;
    CommandLine line;
    options::options_description described = describe(line);
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, described), values);
        options::notify(values);
        line.help = values.contains("help");
        line.checkOnly = values.contains("check-settings");
    } catch (const options::error& error) {
        std::cerr << "toucanstepd: " << error.what() << "\n"
                  << described;
        return exitUnusable;
    }
    if (line.help || line.settingsFile.empty()) {
        std::cout << described;
        return line.help ? exitGood : exitUnusable;
    }
    return run(line);
}
