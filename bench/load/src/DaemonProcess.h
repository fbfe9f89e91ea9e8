// One daemon that the bench started. It ends only this process, by its id.
//
//     DaemonProcess daemon({ .program = "build/bin/toucanstepd", .arguments = { "--settings", file }, .logFile = log });
//     if (!daemon.waitListening(std::chrono::seconds(10)))
//         ...

#pragma once

#include "toucanstep/base/Endpoint.h"
#include "toucanstep/base/Time.h"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace toucanstep::bench {

struct DaemonOptions {
    std::string program;
    std::vector<std::string> arguments;
    std::string logFile;
};

struct DaemonPorts {
    base::Endpoint peer;
    uint16_t operatorPort = 0;
    // Zero for a sidecar.
    uint16_t callerPort = 0;
};

class DaemonProcess {
public:
    explicit DaemonProcess(const DaemonOptions&);
    // Kills the process if it still runs.
    ~DaemonProcess();
    DaemonProcess(const DaemonProcess&) = delete;
    DaemonProcess& operator=(const DaemonProcess&) = delete;

    // Reads the line that the daemon prints once it listens. Nothing where it ended or took longer.
    std::optional<DaemonPorts> waitListening(base::Duration patience);
    // Sends a signal, unless the process has ended.
    void signal(int number);
    // True once the process has ended within `patience`.
    bool waitEnded(base::Duration patience);
    // Memory that is resident, in bytes; nothing once it has ended.
    std::optional<int64_t> residentBytes() const;

private:
    pid_t m_pid = -1;
    int m_output = -1;
};

} // namespace toucanstep::bench
