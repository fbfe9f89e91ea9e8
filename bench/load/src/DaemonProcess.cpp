#include "DaemonProcess.h"

#include "toucanstep/base/Text.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <glog/logging.h>
#include <poll.h>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace toucanstep::bench {

namespace {

constexpr base::Duration pollInterval = std::chrono::milliseconds(5);
constexpr int logMode = 0644;

std::optional<DaemonPorts> portsFrom(const std::string& line)
{
    std::istringstream words(line);
    std::string word;
    DaemonPorts ports;
    words >> word;
    if (word != "listening")
        return std::nullopt;
    while (words >> word) {
        size_t equals = word.find('=');
        if (equals == std::string::npos)
            continue;
        std::string name = word.substr(0, equals);
        std::string value = word.substr(equals + 1);
        if (name == "peer")
            ports.peer = base::parseEndpoint(value).value_or(base::Endpoint {});
        else if (name == "operator")
            ports.operatorPort = static_cast<uint16_t>(std::stoi(value));
        else if (name == "caller")
            ports.callerPort = static_cast<uint16_t>(std::stoi(value));
    }
    return ports;
}

} // namespace

DaemonProcess::DaemonProcess(const DaemonOptions& options)
{
    std::array<int, 2> pipeEnds {};
    PCHECK(pipe2(pipeEnds.data(), O_CLOEXEC) == 0);
    m_output = pipeEnds[0];
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, pipeEnds[1], STDOUT_FILENO);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, options.logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, logMode);
    std::vector<std::string> words { options.program };
    words.insert(words.end(), options.arguments.begin(), options.arguments.end());
    std::vector<char*> pointers;
    for (std::string& word : words)
        pointers.push_back(word.data());
    pointers.push_back(nullptr);
    int error = posix_spawn(&m_pid, options.program.c_str(), &actions, nullptr, pointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(pipeEnds[1]);
    if (error) {
        m_pid = -1;
        LOG(ERROR) << "event=daemon_not_started program=" << options.program << " error=" << error;
    }
}

DaemonProcess::~DaemonProcess()
{
    signal(SIGKILL);
    constexpr base::Duration patience = std::chrono::seconds(5);
    waitEnded(patience);
    close(m_output);
}

std::optional<DaemonPorts> DaemonProcess::waitListening(base::Duration patience)
{
    base::Instant deadline = std::chrono::steady_clock::now() + patience;
    std::string line;
    while (m_pid > 0 && line.find('\n') == std::string::npos) {
        pollfd waited { m_output, POLLIN, 0 };
        auto left = base::toMilliseconds(base::remaining(std::chrono::steady_clock::now(), deadline));
        if (poll(&waited, 1, static_cast<int>(left)) <= 0)
            return std::nullopt;
        std::array<char, 256> buffer {};
        ssize_t count = read(m_output, buffer.data(), buffer.size());
        if (count <= 0)
            return std::nullopt;
        line.append(buffer.data(), static_cast<size_t>(count));
    }
    return portsFrom(line);
}

void DaemonProcess::signal(int number)
{
    if (m_pid > 0)
        kill(m_pid, number);
}

bool DaemonProcess::waitEnded(base::Duration patience)
{
    base::Instant deadline = std::chrono::steady_clock::now() + patience;
    while (m_pid > 0) {
        int status = 0;
        if (waitpid(m_pid, &status, WNOHANG) == m_pid)
            m_pid = -1;
        else if (std::chrono::steady_clock::now() >= deadline)
            return false;
        else
            std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

std::optional<int64_t> DaemonProcess::residentBytes() const
{
    std::ifstream file(base::concat("/proc/", m_pid, "/status"));
    std::string line;
    constexpr int64_t kibibyte = 1024;
    while (m_pid > 0 && std::getline(file, line)) {
        if (line.rfind("VmRSS:", 0) == 0)
            return std::atoll(line.c_str() + sizeof("VmRSS:") - 1) * kibibyte;
    }
    return std::nullopt;
}

} // namespace toucanstep::bench
