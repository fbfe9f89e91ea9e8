#include "Gateway.h"

#include "Caller.h"
#include "toucanstep/base/Text.h"

#include <arpa/inet.h>
#include <array>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace toucanstep::review {

namespace {

constexpr const char* program = "target/bin/toucanstepd";

std::string settingsText(const GatewaySettings& settings, const base::Endpoint& callers, const base::Endpoint& readiness, const base::Endpoint& control, uint16_t peerPort)
{
    return base::concat("node_name = \"", settings.name, "\"\nrole = \"gateway\"\nmachine_class = \"edge\"\nserves = [\"edge\"]\nip = \"127.0.0.1\"\nzone = \"", settings.zone,
        "\"\nregion = \"r\"\nport_range = [", peerPort, ",", peerPort, "]\nseeds = []\nbootstrap = ", settings.firstStart ? "true" : "false",
        "\nin_tolerance = false\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1200\n"
        "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"fleet\",\"stream\",\"engine\",\"tenants\",\"quota\",\"platform\"]\n"
        "[zones]\n",
        settings.zone, " = \"r\"\n[listen]\nfrontend = \"", callers.text(), "\"\nreadiness = \"", readiness.text(), "\"\ncontrol_plane = \"", control.text(),
        "\"\n[limits]\ncpu_quota = ", settings.processorShare, "\ncores = 1\nmemory_mb = ", settings.memoryMegabytes, "\nmax_fds = 4200\nlink_mbps = 1000.0\ndisk_mb = 0\n"
                                                                                                                      "[fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n"
                                                                                                                      "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\n"
                                                                                                                      "config_apply_ms = 2000\nrollback_slack_ms = 250\nmax_skew_ms = 5000\nstrict_revocation = false\nrevoke_ms = 5000\nretry_budget_ratio = 0.2\n"
                                                                                                                      "budget_window_s = 10\nbudget_slack = 94\nquota_window_s = 8\nquota_overshoot = 0.1\nquota_tolerance = 7500\nrecovery_s = 12\npass_ms = 120\n"
                                                                                                                      "retry_after_s = 0\nfencing_enforced = ",
        settings.fencesEnforced ? "true" : "false", "\nlease_ms = 3000\nthaw_ms = 300\nrate_window_s = 5\nload_overshoot = 1.1\n[platform]\naddress = \"", settings.store.text(),
        "\"\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n");
}

} // namespace

uint16_t freePort()
{
    int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    [[maybe_unused]] int bound = bind(probe, reinterpret_cast<sockaddr*>(&address), size);
    getsockname(probe, reinterpret_cast<sockaddr*>(&address), &size);
    close(probe);
    return ntohs(address.sin_port);
}

Gateway::Gateway(std::string folder, GatewaySettings settings)
    : m_folder(std::move(folder))
    , m_settings(std::move(settings))
    , m_callers { "127.0.0.1", freePort() }
    , m_readiness { "127.0.0.1", freePort() }
    , m_control { "127.0.0.1", freePort() }
    , m_peerPort(freePort())
{
}

Gateway::~Gateway() { kill(); }

bool Gateway::start()
{
    std::string path = base::concat(m_folder, "/", m_settings.name, ".toml");
    std::ofstream(path) << settingsText(m_settings, m_callers, m_readiness, m_control, m_peerPort);
    std::string logPath = base::concat(m_folder, "/", m_settings.name, ".log");
    std::string boot = "TOUCANSTEP_BOOT=" + path;
    std::string name = program;
    std::string mode = "direct";
    std::array<char*, 3> arguments { name.data(), mode.data(), nullptr };
    std::array<char*, 2> environment { boot.data(), nullptr };
    if (access(program, X_OK))
        return false;
    pid_t process = fork();
    if (process) {
        m_process = process;
        return process > 0;
    }
    int log = open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execve(program, arguments.data(), environment.data());
    _exit(127);
}

void Gateway::signal(int number) const
{
    if (m_process > 0)
        ::kill(m_process, number);
}

void Gateway::kill()
{
    if (m_process <= 0)
        return;
    signal(SIGKILL);
    waitpid(m_process, nullptr, 0);
    m_process = 0;
}

size_t Gateway::memory() const
{
    constexpr std::string_view field = "VmRSS:";
    constexpr size_t kilobyte = 1024;
    std::ifstream status(base::concat("/proc/", m_process.load(), "/status"));
    for (std::string line; m_process > 0 && std::getline(status, line);) {
        if (line.starts_with(field))
            return std::stoul(line.substr(field.size())) * kilobyte;
    }
    return 0;
}

bool Gateway::ready() const
{
    Request request;
    request.method = "GET";
    request.target = "/-/readyz";
    request.key.clear();
    request.timeLimit = std::chrono::milliseconds(500);
    constexpr int ok = 200;
    return callGateway(m_readiness, request).status == ok;
}

bool Gateway::awaitReady() const
{
    auto until = std::chrono::steady_clock::now() + std::chrono::seconds(15);
    while (std::chrono::steady_clock::now() < until) {
        if (ready())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
}

} // namespace toucanstep::review
